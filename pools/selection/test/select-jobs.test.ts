import assert from "node:assert/strict";
import test from "node:test";
import { selectJobs, type Candidate, type Selection } from "@almondusher/selection/select-jobs";

const job = (id: string, change: Partial<Candidate<string>> = {}): Candidate<string> => ({
    id,
    commitment: "none",
    stages: [{ offsetMs: 0, durationMs: 1000, width: 1 }],
    latestStartInMs: 400,
    marginMs: 0,
    priority: 0,
    kind: "queue",
    sizeClass: "usual",
    isNeglected: false,
    density: 1,
    ...change,
});

const selectedOf = (selection: Selection<string>): readonly string[] =>
    selection.kind === "overload" ? [...selection.selected].toSorted() : ["all"];

test("all jobs are in time while they fit, one after the other too", () => {
    const candidates = [job("first"), job("second", { latestStartInMs: 1400 })];
    assert.deepEqual(selectJobs({ room: 1, inUse: [], candidates }), { kind: "all-in-time" });
});

test("a job that can be in time is not given up for one that can't", () => {
    const candidates = [job("late", { latestStartInMs: -1, commitment: "begun" }), job("early"), job("other")];
    assert.deepEqual(selectedOf(selectJobs({ room: 1, inUse: [], candidates })).length, 1);
    assert.ok(!selectedOf(selectJobs({ room: 1, inUse: [], candidates })).includes("late"));
});

test("the smaller job for its worth is selected, unless the other has begun", () => {
    const small = job("small", { density: 2 });
    assert.deepEqual(selectedOf(selectJobs({ room: 1, inUse: [], candidates: [job("large"), small] })), ["small"]);
    const begun = job("large", { commitment: "begun" });
    assert.deepEqual(selectedOf(selectJobs({ room: 1, inUse: [], candidates: [begun, small] })), ["large"]);
});

test("a selection does not change for a job that is hardly better", () => {
    const others = Array.from({ length: 8 }, (unused, index) => job(`other${index}`, { density: 0.5 }));
    const candidates = [job("better", { density: 1.1 }), job("kept", { commitment: "selected" }), ...others];
    assert.deepEqual(selectedOf(selectJobs({ room: 1, inUse: [], candidates })), ["kept"]);
});

test("a neglected size is served before others", () => {
    const candidates = [job("small", { density: 9 }), job("large", { sizeClass: "largest", isNeglected: true })];
    assert.deepEqual(selectedOf(selectJobs({ room: 1, inUse: [], candidates })), ["large"]);
});

test("room for the second step of a job is kept", () => {
    const twoSteps = job("two", {
        commitment: "begun",
        stages: [{ offsetMs: 500, durationMs: 1000, width: 1 }],
        latestStartInMs: 0,
    });
    const selection = selectJobs({ room: 1, inUse: [{ untilMs: 400, width: 1 }], candidates: [twoSteps, job("one")] });
    assert.deepEqual(selectedOf(selection), ["two"]);
    assert.equal(selection.kind === "overload" && selection.deferred.has("one"), false);
});

test("late jobs are started where there is room besides the selected ones", () => {
    const candidates = [job("late", { latestStartInMs: -5 }), job("early"), job("wide", { stages: [wide] })];
    const selection = selectJobs({ room: 2, inUse: [], candidates });
    assert.deepEqual(selectedOf(selection), ["early"]);
    assert.deepEqual(selection.kind === "overload" && [...selection.deferred], ["late"]);
});

const wide = { offsetMs: 0, durationMs: 1000, width: 3 };

const OPEN_JOBS = 5000;
// A pass must not delay the next tick of the scheduler.
const MAX_SELECTION_MS = 100;

test(`${OPEN_JOBS} open jobs are selected from in less than ${MAX_SELECTION_MS} ms`, context => {
    const candidates = Array.from({ length: OPEN_JOBS }, (unused, index) =>
        job(`${index}`, {
            latestStartInMs: (index * 37) % 3000,
            density: 1 + (index % 7),
            stages: [
                { offsetMs: 0, durationMs: 640, width: 0.8 },
                { offsetMs: 640, durationMs: 640, width: 0.8 },
            ],
        }),
    );
    const measure = (): number => {
        const startedAtMs = performance.now();
        selectJobs({ room: 40, inUse: [], candidates });
        return performance.now() - startedAtMs;
    };
    const bestMs = Math.min(...Array.from({ length: 5 }, measure));
    context.diagnostic(`${bestMs} ms`);
    assert.ok(bestMs < MAX_SELECTION_MS, `${bestMs} ms`);
});
