import assert from "node:assert/strict";
import test from "node:test";
import { step } from "./fixture.js";
import { createSimulatedPool, type SimulationPlan } from "./simulated-pool.js";
import { unsafeRuns } from "./simulation-outcome.js";

const TASK_MS = 30_000;
const LATE_MS = 12_000;
const END_MS = 20_000;

/**
 * The first holder sends a start to the second executor and ends without a response. The start is carried out there 12 s
 * later, just after the executor has restarted and before the registry shows that.
 */
const plan: SimulationPlan = {
    vmCount: 2,
    jobs: [{ atMs: 0, steps: [step({ estimateMs: TASK_MS })] }],
    clockRate: 1,
    maxListedEnds: 500,
    orderWindow: 32,
    keepsRunsApart: true,
    callsOutlastIncarnations: "all",
    clocksGoOn: false,
    faults: [
        { kind: "evacuated", executor: 0, fromMs: 0, durationMs: 1000 },
        { kind: "late-calls", calls: "start", executor: 1, fromMs: 0, durationMs: 1000, delayMs: LATE_MS },
        { kind: "takeover", atMs: 1300, gapMs: 500 },
        {
            kind: "crash",
            executor: 1,
            atMs: LATE_MS + 200,
            downMs: 100,
            returns: "same-id",
            firstHeartbeatMs: 1500,
            address: "silent",
        },
    ],
};

test("a start of a former holder does not run beside the run that its successor has started elsewhere", () => {
    const lines: string[] = [];
    const pool = createSimulatedPool(plan, line => lines.push(line));
    while (pool.time.runNext(END_MS)) {
        assert.deepEqual(unsafeRuns(pool), [], lines.join("\n"));
    }
    assert.ok(
        lines.some(line => line.includes("run 65537 of job0.0.0.0 on e1 begins")),
        lines.join("\n"),
    );
});
