import assert from "node:assert/strict";
import test from "node:test";
import { hasCode } from "@almondusher/fleet/fleet-error";
import type { Progress } from "@almondusher/jobs/progress";
import { decodeJob, decodeProgress, encodeProgress } from "@almondusher/jobs/stored-rows";
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

test("a damaged row or one of another format is rejected with bad-message", () => {
    ["", "{}", "null", '{"format":2,"job":{}}', '{"format":1,"job":{"id":3}}'].forEach(text =>
        assert.throws(
            () => decodeJob(text),
            (error: unknown) => hasCode(error, "bad-message"),
        ),
    );
});
