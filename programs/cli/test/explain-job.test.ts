import assert from "node:assert/strict";
import { test } from "node:test";
import { explainJob, findJobEvents } from "../src/explain-job.js";

const JOB = "00000000000000ab";
const at = (second: number): string => `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`;
const line = (second: number, fields: object): string =>
    JSON.stringify({ name: "almondusher-dispatcher", vm: "entry-1", time: at(second), ...fields });

const lines = [
    line(5, { event: "run-ended", task: `${JOB}.0.0.0`, executor: "i-1", how: "stopped", cause: "evacuation" }),
    line(1, { event: "request-answered", job: JOB, method: "POST", outcome: "accepted" }),
    `3.5 entry-1 ${line(2, { event: "job-admitted", job: JOB })}`,
    line(4, { event: "run-placed", task: `${JOB}.0.0.0`, executor: "i-1" }),
    line(8, { event: "job-finished", job: JOB, state: "completed" }),
    line(3, { event: "job-admitted", job: "00000000000000ac" }),
    "not JSON 00000000000000ab",
];

test("findJobEvents skips lines of other jobs and lines that are not JSON, and sorts the events by time", () => {
    const events = findJobEvents(lines, JOB).map(({ event }) => event);
    assert.deepEqual(events, ["request-answered", "job-admitted", "run-placed", "run-ended", "job-finished"]);
});

test("explainJob reports the time to the first start, the stopped runs and the end of the job", () => {
    const { state, findings } = explainJob(JOB, findJobEvents(lines, JOB));
    assert.equal(state, "completed");
    assert.deepEqual(findings, [
        `accepted by entry-1 at ${at(1)}`,
        "first start 2000 ms after the scheduler on entry-1 admitted the job",
        "1 run(s) stopped: evacuation",
        `completed at ${at(8)}`,
    ]);
});

test("explainJob reports a submission that was not accepted and a job that no scheduler has admitted", () => {
    const events = findJobEvents(
        [line(1, { event: "request-answered", job: JOB, method: "POST", outcome: "not-run" })],
        JOB,
    );
    assert.deepEqual(explainJob(JOB, events).findings, [
        "not accepted: not-run",
        "no scheduler has admitted the job",
        "no log line reports the end of the job",
    ]);
});

test("explainJob reports what tasks waited for, and for how long, by reason and executor", () => {
    const task = `${JOB}.0.2.4`;
    const waiting = { event: "task-waiting", job: JOB, task, waitedMs: 3000 };
    const held = { ...waiting, reason: "run-not-ended", phase: "stopping", executor: "i-1" };
    const events = findJobEvents(
        [
            line(3, held),
            line(6, { ...held, waitedMs: 6000 }),
            line(6, { ...held, task: `${JOB}.0.2.5` }),
            line(9, { ...waiting, reason: "no-usable-executor", unusable: { unreachable: 3 } }),
        ],
        JOB,
    );
    assert.deepEqual(explainJob(JOB, events).findings.slice(2, -1), [
        "2 task(s) waited for up to 6000 ms although there was room: run-not-ended, stopping, on executor i-1",
        "1 task(s) waited for up to 3000 ms although there was room: no-usable-executor",
    ]);
});
