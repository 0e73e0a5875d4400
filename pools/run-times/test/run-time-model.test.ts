import assert from "node:assert/strict";
import test from "node:test";
import {
    createRunTimeModel,
    expectedLongestMs,
    expectedMs,
    expectedMsAtAge,
    learnFinishedRun,
    learnUnfinishedRun,
    MAX_KINDS,
    MAX_QUEUES,
    observeActiveRuns,
    quantileMs,
    type RunTimeModel,
} from "@almondusher/run-times/run-time-model";
import { createRandom, kind, learnRuns, scatter, subject, type KindFixture } from "./fixture.js";

const assertNear = (actual: number, wanted: number, tolerance: number): void =>
    assert.ok(Math.abs(actual / wanted - 1) <= tolerance, `${actual} instead of ${wanted}`);

test("a declared time holds until a run has finished, and 1 s without one", () => {
    const model = createRunTimeModel();
    assertNear(expectedMs(model, subject({ declaredMs: 300 })), 300, 1e-9);
    assertNear(expectedMs(model, subject({ declaredMs: 0 })), 1000, 1e-9);
});

[0.5, 2].forEach(factor => {
    test(`runs that take ${factor} times their declared time are expected to`, () => {
        const random = createRandom(1);
        const model = createRunTimeModel();
        learnRuns(model, 200, () => {
            const declaredMs = 200 * 8 ** random();
            return { kind: { declaredMs }, observedMs: factor * declaredMs * scatter(random, 0.1) };
        });
        [250, 500, 1200].forEach(declaredMs =>
            assertNear(expectedMs(model, subject({ declaredMs })), factor * declaredMs, 0.12),
        );
    });
});

test("accurate declared times are kept, also small and large ones", () => {
    const random = createRandom(2);
    const model = createRunTimeModel();
    learnRuns(model, 300, () => {
        const declaredMs = 100 * 32 ** random();
        return { kind: { declaredMs }, observedMs: declaredMs };
    });
    [120, 600, 2800].forEach(declaredMs => assertNear(expectedMs(model, subject({ declaredMs })), declaredMs, 0.1));
    const high = quantileMs(model, subject({ declaredMs: 600 }), 0.9);
    assert.ok(high > 500 && high < 800, `${high}`);
});

test("undeclared times are learned by image", () => {
    const model = createRunTimeModel();
    const observedMs = { short: 200, long: 3000 };
    learnRuns(model, 200, () => ({ kind: { declaredMs: 0, image: "short" }, observedMs: observedMs.short }));
    learnRuns(model, 200, () => ({ kind: { declaredMs: 0, image: "long" }, observedMs: observedMs.long }));
    learnRuns(model, 200, () => ({ kind: { declaredMs: 0, image: "short" }, observedMs: observedMs.short }));
    assertNear(expectedMs(model, subject({ declaredMs: 0, image: "short" })), observedMs.short, 0.25);
    assertNear(expectedMs(model, subject({ declaredMs: 0, image: "long" })), observedMs.long, 0.5);
});

test("two images and two tenants of a queue with the same declared time are told apart", () => {
    const random = createRandom(3);
    const model = createRunTimeModel();
    const trueMs = ({ image, tenant }: KindFixture): number =>
        (image === "a" ? 400 : 1600) * (tenant === "slow" ? 2 : 1);
    const kinds = ["a", "b"].flatMap(image => ["slow", "quick"].map(tenant => ({ image, tenant })));
    learnRuns(model, 1200, () => {
        const chosen = kinds[Math.floor(random() * kinds.length)] ?? {};
        return { kind: chosen, observedMs: trueMs(chosen) * scatter(random, 0.1) };
    });
    kinds.forEach(chosen => assertNear(expectedMs(model, subject(chosen)), trueMs(chosen), 0.2));
    // An image without runs of its own is expected to be like its queue.
    const unknown = expectedMs(model, subject({ image: "c" }));
    assert.ok(unknown > 500 && unknown < 2500, `${unknown}`);
});

test("few runs of a narrow kind change its expectation little, many of them fully", () => {
    const model = createRunTimeModel();
    learnRuns(model, 300, () => ({ kind: { image: "a" }, observedMs: 1000 }));
    learnRuns(model, 2, () => ({ kind: { image: "b" }, observedMs: 4000 }));
    const afterTwo = expectedMs(model, subject({ image: "b" }));
    assert.ok(afterTwo > 1000 && afterTwo < 2000, `${afterTwo}`);
    learnRuns(model, 100, () => ({ kind: { image: "b" }, observedMs: 4000 }));
    assertNear(expectedMs(model, subject({ image: "b" })), 4000, 0.35);
});

test("nine of ten runs end within the high estimate, and half of them within the expected time", () => {
    const random = createRandom(4);
    const model = createRunTimeModel();
    const next = (): number => 800 * scatter(random, 0.5);
    learnRuns(model, 400, () => ({ observedMs: next() }));
    const later = Array.from({ length: 1000 }, next);
    const shareWithin = (limitMs: number): number => later.filter(ms => ms <= limitMs).length / later.length;
    const half = shareWithin(quantileMs(model, subject(), 0.5));
    const high = shareWithin(quantileMs(model, subject(), 0.9));
    assert.ok(half > 0.42 && half < 0.58, `${half}`);
    assert.ok(high > 0.85 && high < 0.95, `${high}`);
});

test("a change of behaviour is followed within some half-lives", () => {
    const model = createRunTimeModel();
    learnRuns(model, 1000, () => ({ observedMs: 500 }));
    learnRuns(model, 200, () => ({ observedMs: 2000 }));
    const afterOne = expectedMs(model, subject());
    assert.ok(afterOne > 900 && afterOne < 2100, `${afterOne}`);
    learnRuns(model, 800, () => ({ observedMs: 2000 }));
    assertNear(expectedMs(model, subject()), 2000, 0.1);
});

test("finished tasks of a step say more of the others than the declared time does", () => {
    const random = createRandom(5);
    const model = createRunTimeModel();
    const learnStep = (tasks: number) => {
        const trueMs = 800 * scatter(random, 0.5);
        const step = subject({ declaredMs: 800 });
        Array.from({ length: tasks }).forEach(() => learnFinishedRun(model, step, trueMs * scatter(random, 0.1)));
        return { step, trueMs };
    };
    Array.from({ length: 40 }).forEach(() => learnStep(8));
    const errors = Array.from({ length: 40 }, () => {
        const { step, trueMs } = learnStep(3);
        return Math.abs(Math.log(expectedMs(model, step) / trueMs));
    });
    assert.ok(Math.max(...errors) < 0.3, `${Math.max(...errors)}`);
    const { step } = learnStep(3);
    const ofStep = quantileMs(model, step, 0.9) / expectedMs(model, step);
    const ofKind = quantileMs(model, subject(), 0.9) / expectedMs(model, subject());
    assert.ok(ofStep < 1.3 && ofKind > 1.4, `${ofStep}, ${ofKind}`);
    // Tasks of one step are alike, so the longest of many takes little longer.
    const longest = expectedLongestMs(model, step, 32) / expectedMs(model, step);
    assert.ok(longest > 1.05 && longest < 1.35, `${longest}`);
});

test("a run that has lasted longer than expected has time left, the more the longer others of its kind last", () => {
    const model = createRunTimeModel();
    learnRuns(model, 90, () => ({ observedMs: 500 }));
    learnRuns(model, 10, () => ({ observedMs: 5000 }));
    assert.equal(expectedMsAtAge(model, subject(), 100), expectedMs(model, subject()));
    const atAge = expectedMsAtAge(model, subject(), 1500);
    assert.ok(atAge > 3000 && atAge < 7000, `${atAge}`);
    const beyond = expectedMsAtAge(model, subject(), 60_000);
    assert.ok(beyond > 60_000 && beyond < 120_000, `${beyond}`);
});

const LONG_RUNS = 30;
const longRuns = (ageMs: number) => Array.from({ length: LONG_RUNS }, () => ({ kind: kind(), ageMs }));

test("runs that still go on raise the estimate before the first of them has finished", () => {
    const model = createRunTimeModel();
    learnRuns(model, 20, () => ({ observedMs: 800 }));
    const before = expectedMs(model, subject());
    observeActiveRuns(model, longRuns(100));
    assertNear(expectedMs(model, subject()), before, 1e-9);
    observeActiveRuns(model, longRuns(4000));
    assert.ok(expectedMs(model, subject()) > 1.8 * before);
    observeActiveRuns(model, []);
    assertNear(expectedMs(model, subject()), before, 1e-9);
});

test("a run that ended undone raises the estimate only if it had lasted longer than expected", () => {
    const model = createRunTimeModel();
    learnRuns(model, 20, () => ({ observedMs: 800 }));
    const before = expectedMs(model, subject());
    Array.from({ length: LONG_RUNS }).forEach(() => learnUnfinishedRun(model, subject(), 50));
    assertNear(expectedMs(model, subject()), before, 1e-9);
    Array.from({ length: LONG_RUNS }).forEach(() => learnUnfinishedRun(model, subject(), 4000));
    assert.ok(expectedMs(model, subject()) > 1.5 * before);
});

const isSound = (model: RunTimeModel, fixture: KindFixture): boolean =>
    [
        expectedMs(model, subject(fixture)),
        quantileMs(model, subject(fixture), 0.9),
        expectedLongestMs(model, subject(fixture), 1e6),
        expectedMsAtAge(model, subject(fixture), 1e12),
    ].every(ms => Number.isFinite(ms) && ms > 0);

test("garbage breaks no estimate", () => {
    const garbage = [0, -0, -1, NaN, Infinity, -Infinity, 1e-300, 1e300, Number.MAX_VALUE];
    const model = createRunTimeModel();
    garbage.forEach(declaredMs =>
        garbage.forEach(observedMs => {
            learnFinishedRun(model, subject({ declaredMs }), observedMs);
            learnUnfinishedRun(model, subject({ declaredMs }), observedMs);
            observeActiveRuns(model, [{ kind: kind({ declaredMs }), ageMs: observedMs }]);
            assert.ok(isSound(model, { declaredMs }), `${declaredMs}, ${observedMs}`);
            assert.ok(isSound(model, { declaredMs: 500, image: "\ud800;,/%" }), `${declaredMs}, ${observedMs}`);
        }),
    );
    learnRuns(model, 1000, () => ({ observedMs: 800 }));
    assertNear(expectedMs(model, subject()), 800, 0.3);
});

test("the space is bounded, and kinds in use are kept", () => {
    const model = createRunTimeModel();
    learnRuns(model, 50, () => ({ kind: { queue: "used" }, observedMs: 3000 }));
    Array.from({ length: 5000 }, (unused, index) => {
        learnFinishedRun(model, subject({ queue: `queue-${index % 200}`, image: `image-${index}` }), 100);
        learnFinishedRun(model, subject({ queue: "used" }), 3000);
    });
    assert.ok(model.kinds.size <= MAX_KINDS, `${model.kinds.size}`);
    assert.ok(model.declared.size <= MAX_QUEUES && model.siblings.size <= MAX_QUEUES);
    assertNear(expectedMs(model, subject({ queue: "used" })), 3000, 0.1);
});
