import assert from "node:assert/strict";
import test from "node:test";
import type { TaskId } from "@almondusher/jobs/ids";
import { openDueOccurrences } from "@almondusher/scheduler/open-occurrences";
import type { OpenJob, PoolTables } from "@almondusher/scheduler/pool-tables";
import { createPool, executorOf, place, receiveReport, record, step } from "./fixture.js";

const DUE_AT_MS = 1000;
const RUN = 65_537;

/** Tables of a new holder of the lease for which the only occurrence of a job is not due yet. */
const beforeDueTime = (): { readonly tables: PoolTables; readonly job: OpenJob } => {
    const schedule = { occurrences: 1, firstRunMs: DUE_AT_MS, intervalMs: 1000 };
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()], inherited: true, schedule }],
    });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined && job.occurrences.size === 0);
    return { tables, job };
};

const activeRun = (task: string) =>
    ({ task: task as TaskId, run: RUN, checkpoint: "", percent: 10, recentLoad: undefined }) as const;

// The run was stopped as unknown, and its task started elsewhere at the due time, also if the stop had not arrived.
test("a run that a holder with a faster clock started is adopted although its occurrence is not due here", () => {
    const { tables, job } = beforeDueTime();
    receiveReport(tables, "a", { active: [activeRun("j1.0.0.0")] });
    assert.deepEqual(executorOf(tables, "a").orphanedRuns, []);
    assert.deepEqual(
        [...executorOf(tables, "a").runs.values()].map(({ number }) => number),
        [RUN],
    );
    executorOf(tables, "a").reachable = false;
    openDueOccurrences(job, DUE_AT_MS);
    assert.equal(place(tables, 200).length, 0, "the task would run twice");
});

// The end was acknowledged without being counted, so that the task ran again.
test("an end as done counts although the occurrence of its task is not due here", () => {
    const { tables, job } = beforeDueTime();
    receiveReport(tables, "a", {
        ended: [{ number: 1, task: "j1.0.0.0" as TaskId, run: RUN, how: "done", checkpoint: "" }],
    });
    openDueOccurrences(job, DUE_AT_MS);
    assert.equal(place(tables, 200).length, 0);
    assert.equal(job.state, "completed");
});

test("a run of an occurrence that the job does not have is stopped", () => {
    const { tables, job } = beforeDueTime();
    receiveReport(tables, "a", { active: [activeRun("j1.1.0.0"), activeRun("j1.x.0.0")] });
    assert.equal(executorOf(tables, "a").orphanedRuns.length, 2);
    assert.equal(job.occurrences.size, 0);
});
