import assert from "node:assert/strict";
import test from "node:test";
import fc from "fast-check";
import { createRunTimeModel, expectedMs, learnFinishedRun, quantileMs } from "@almondusher/run-times/run-time-model";
import { decodeRunTimes, encodeRunTimes, MAX_STATE_CHARS } from "@almondusher/run-times/run-time-state";
import { createRandom, learnRuns, scatter, subject } from "./fixture.js";

const learned = () => {
    const random = createRandom(7);
    const model = createRunTimeModel();
    learnRuns(model, 400, () => ({ kind: { image: "a" }, observedMs: 2000 * scatter(random, 0.4) }));
    learnRuns(model, 400, () => ({ kind: { image: "b" }, observedMs: 300 * scatter(random, 0.1) }));
    return model;
};

const ratioOf = (left: number, right: number): number => Math.max(left / right, right / left);

test("a successor expects what its predecessor did, and without the state what is declared", () => {
    const model = learned();
    const successor = decodeRunTimes(encodeRunTimes(model));
    ["a", "b", "c"].forEach(image => {
        const known = subject({ image });
        assert.ok(ratioOf(expectedMs(successor, known), expectedMs(model, known)) < 1.25);
        assert.ok(ratioOf(quantileMs(successor, known, 0.9), quantileMs(model, known, 0.9)) < 1.4);
    });
    assert.ok(ratioOf(expectedMs(decodeRunTimes(undefined), subject({ image: "a" })), 1000) < 1.001);
});

test("a successor's own runs soon count more than the state", () => {
    const successor = decodeRunTimes(encodeRunTimes(learned()));
    learnRuns(successor, 200, () => ({ kind: { image: "a" }, observedMs: 500 }));
    assert.ok(ratioOf(expectedMs(successor, subject({ image: "a" })), 500) < 1.5);
});

test("the state has a bounded size, with the wide kinds first", () => {
    const model = learned();
    Array.from({ length: 400 }, (unused, index) =>
        learnFinishedRun(model, subject({ image: `image with ; and , ${index}`, tenant: `${index}` }), 500),
    );
    const text = encodeRunTimes(model);
    assert.ok(text.length <= MAX_STATE_CHARS, `${text.length}`);
    assert.ok(/^[\x20-\x7e]*$/.test(text) && !/["\\]/.test(text), "no character takes more bytes in a row");
    assert.ok(ratioOf(expectedMs(decodeRunTimes(text), subject()), expectedMs(model, subject())) < 1.3);
});

test("a state that is cut off or changed anywhere gives sound estimates", () => {
    const text = encodeRunTimes(learned());
    fc.assert(
        fc.property(
            fc.nat(text.length),
            fc.nat(text.length),
            fc.oneof(fc.string(), fc.constantFrom("NaN", "-1", "1e999", ",", ";", ";k,queue,5,0,", ";d,%,1,1")),
            (from, to, inserted) => {
                const model = decodeRunTimes(text.slice(0, from) + inserted + text.slice(to));
                const known = subject({ image: "a" });
                learnFinishedRun(model, known, 1000);
                return [expectedMs(model, known), quantileMs(model, known, 0.9)].every(
                    ms => Number.isFinite(ms) && ms > 0,
                );
            },
        ),
        { seed: 20261207, numRuns: 2000 },
    );
});

test("the state of another version is left out", () => {
    const text = encodeRunTimes(learned()).replace(/^1;/, "2;");
    assert.equal(decodeRunTimes(text).kinds.size, 0);
});
