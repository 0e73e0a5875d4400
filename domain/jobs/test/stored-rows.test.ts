import assert from "node:assert/strict";
import test from "node:test";
import { deflateRawSync } from "node:zlib";
import { hasCode } from "@almondusher/fleet/fleet-error";
import type { Progress } from "@almondusher/jobs/progress";
import { decodeJob, decodeProgress, encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import fc from "fast-check";

const index = fc.nat(100);

const progress: fc.Arbitrary<Progress> = fc.record(
    {
        state: fc.constantFrom("queued", "running", "completed", "failed", "cancelled"),
        steps: fc.array(
            fc.record(
                {
                    occurrence: index,
                    step: index,
                    done: fc.array(index),
                    failures: fc.array(
                        fc.record(
                            { index, attempts: index, lastRun: index, runs: fc.array(index) },
                            { noNullPrototype: true, requiredKeys: ["index", "attempts", "lastRun"] },
                        ),
                    ),
                    checkpoints: fc.array(fc.record({ index, checkpoint: fc.string() }, { noNullPrototype: true })),
                },
                { noNullPrototype: true },
            ),
        ),
    },
    { noNullPrototype: true },
);

test("progress is unchanged after encoding and decoding", () => {
    fc.assert(
        fc.property(progress, value => assert.deepEqual(decodeProgress(encodeProgress(value)), value)),
        { seed: 20_261_204 },
    );
});

const rangesOf = (lengths: readonly (readonly [number, number])[]): [number, number][] => {
    let end = -2;
    return lengths.map(([gap, length]) => {
        const first = end + 2 + gap;
        end = first + length;
        return [first, end];
    });
};

test("completed occurrences are unchanged after encoding and decoding, in a format that earlier versions do not read", () => {
    fc.assert(
        fc.property(progress, fc.array(fc.tuple(index, index), { minLength: 1 }), (value, lengths) => {
            const text = encodeProgress({ ...value, completedOccurrences: rangesOf(lengths) });
            assert.deepEqual(decodeProgress(text), { ...value, completedOccurrences: rangesOf(lengths) });
            assert.equal((JSON.parse(text) as { readonly format: unknown }).format, 3);
        }),
        { seed: 20_261_207 },
    );
});

test("damaged ranges of completed occurrences are rejected with bad-message", () => {
    const compact = (content: unknown): string => deflateRawSync(JSON.stringify(content)).toString("base64");
    const damaged = ["", "?", compact(7), compact([-1, 1]), compact([0, 0]), compact(["a", 1]), compact([1e300, 1])];
    damaged.forEach(completedOccurrences => {
        const row = { format: 3, progress: { state: "queued", steps: compact([]), completedOccurrences } };
        assert.throws(
            () => decodeProgress(JSON.stringify(row)),
            (error: unknown) => hasCode(error, "bad-message"),
            completedOccurrences,
        );
    });
});

test("a damaged row or one of another format is rejected with bad-message", () => {
    ["", "{}", "null", '{"format":2,"job":{}}', '{"format":1,"job":{"id":3}}'].forEach(text =>
        assert.throws(
            () => decodeJob(text),
            (error: unknown) => hasCode(error, "bad-message"),
        ),
    );
});

const STEP = {
    count: 1,
    demand: { cpu: 1000, memoryMb: 100, gpu: 0 },
    estimateMs: 1000,
    after: [],
    checkpointing: false,
    gang: false,
    sameRack: false,
    speculative: false,
    longRunning: false,
    backfill: false,
};
const JOB = { id: "j", queue: "q", pool: "p", spec: "s", steps: [STEP, STEP], acceptedAtMs: 0 };

const jobText = (change: object): string => JSON.stringify({ format: 1, job: { ...JOB, ...change } });

test("a stored job that would exhaust the memory, never become ready or free resources is rejected", () => {
    assert.equal(decodeJob(jobText({})).steps.length, 2);
    const odd: Readonly<Record<string, object>> = {
        "too many tasks in a step": { steps: [{ ...STEP, count: 1_000_000_000 }] },
        "too many tasks of all steps": { steps: [STEP, { ...STEP, count: 100_000 }] },
        "too many occurrences": { schedule: { occurrences: 1_000_000_000, firstRunMs: 0, intervalMs: 0 } },
        "no occurrence": { schedule: { occurrences: 0, firstRunMs: 0, intervalMs: 0 } },
        "negative occurrences": { schedule: { occurrences: -1, firstRunMs: 0, intervalMs: 0 } },
        "a step that waits for itself": { steps: [{ ...STEP, after: [0] }] },
        "steps that wait for each other": { steps: [STEP, { ...STEP, after: [2] }, { ...STEP, after: [1] }] },
        "a step that waits for a negative one": { steps: [STEP, { ...STEP, after: [-1] }] },
        "a negative demand": { steps: [{ ...STEP, demand: { cpu: -1, memoryMb: 0, gpu: 0 } }] },
        "a negative estimate": { steps: [{ ...STEP, estimateMs: -1 }] },
    };
    Object.entries(odd).forEach(([name, change]) =>
        assert.throws(
            () => decodeJob(jobText(change)),
            (error: unknown) => hasCode(error, "bad-message"),
            name,
        ),
    );
});

const TERMS = {
    priority: 1,
    maxAttempts: 3,
    stretch: 1.6,
    graceMs: 600,
    advice: { decideMs: 20, perExecutorMs: 1, validMs: 3000 },
};

test("the terms of a job are unchanged after encoding and decoding, also without advice", () => {
    [TERMS, { ...TERMS, advice: undefined }].forEach(terms => {
        const job = decodeJob(encodeJob({ ...decodeJob(jobText({})), terms }));
        assert.deepEqual(job.terms, JSON.parse(JSON.stringify(terms)));
    });
});

test("a job without terms, or with damaged ones, is not lost", () => {
    [{}, { terms: [] }, { terms: {} }, { terms: { ...TERMS, maxAttempts: "3" } }, { terms: 7 }].forEach(change => {
        const job = decodeJob(jobText(change));
        assert.equal(job.terms, undefined, JSON.stringify(change));
        assert.equal(job.steps.length, 2);
    });
});

test("the terms add at most 160 bytes to the row of a job", () => {
    const withTerms = encodeJob({ ...decodeJob(jobText({})), terms: TERMS });
    assert.ok(withTerms.length - encodeJob(decodeJob(jobText({}))).length <= 160, `${withTerms.length}`);
});

test("stored progress with negative numbers is rejected", () => {
    const empty = { occurrence: 0, step: 0, done: [], failures: [], checkpoints: [] };
    const odd: readonly object[] = [
        { ...empty, occurrence: -1 },
        { ...empty, step: -1 },
        { ...empty, done: [-1] },
        { ...empty, failures: [{ index: 0, attempts: -1, lastRun: 1 }] },
        { ...empty, failures: [{ index: 0, attempts: 1, lastRun: 1e300 }] },
    ];
    odd.forEach(step =>
        assert.throws(
            () => decodeProgress(JSON.stringify({ format: 1, progress: { state: "running", steps: [step] } })),
            (error: unknown) => hasCode(error, "bad-message"),
            JSON.stringify(step),
        ),
    );
});

const LARGE: Progress = {
    state: "running",
    steps: Array.from({ length: 1000 }, (unused, occurrence) => ({
        occurrence,
        step: 0,
        done: [0, 1, 3],
        failures: [
            { index: 2, attempts: 2, lastRun: 2 ** 40, runs: [2 ** 40, 5] },
            { index: 4, attempts: 1, lastRun: 7 },
        ],
        checkpoints: [{ index: 2, checkpoint: "c" }],
    })),
};

test("the progress of a large job is unchanged after encoding and decoding, in the format of earlier versions as well", () => {
    const plain = JSON.stringify({ format: 1, progress: LARGE });
    assert.ok(encodeProgress(LARGE).length < plain.length / 5);
    assert.deepEqual(decodeProgress(encodeProgress(LARGE)), LARGE);
    assert.deepEqual(decodeProgress(plain), LARGE);
});

test("damaged compact progress is rejected with bad-message", () => {
    const compressed = (value: unknown): string => deflateRawSync(JSON.stringify(value)).toString("base64");
    const damaged: readonly unknown[] = [
        "AAAA",
        3,
        compressed("text"),
        compressed([[["a"]]]),
        compressed([[[0, 0, 1e9]]]),
        compressed([[[0, 0, 1, 0, -5]]]),
        compressed([[[0, 0, 1, -7, 1]]]),
    ];
    damaged.forEach(steps =>
        assert.throws(
            () => decodeProgress(JSON.stringify({ format: 2, progress: { state: "running", steps } })),
            (error: unknown) => hasCode(error, "bad-message"),
            JSON.stringify(steps),
        ),
    );
});
