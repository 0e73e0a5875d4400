import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import { startStoreStandIn, type StoreStandIn } from "@almondusher/job-platform-stand-in/store";
import type { JobId } from "@almondusher/jobs/ids";
import { createTableStore } from "@almondusher/platform-adapter/table-store";
import { createCancellationMarks, MAX_MARKS } from "../src/entry/cancellation-marks.js";
import { cancelJob, readJobState, submitJob, type JobCall, type JobCallResult } from "../src/entry/job-api.js";
import { followJobs } from "../src/jobs/job-feed.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { POOL, QUEUE } from "./fixture.js";

// A cancel of a job that was not stored was answered with 410 and stored nothing, so that a submission that a frozen machine,
// the store or the network held back was accepted and run later.

const ID = toId<JobId>("7e11a0c45d9b3f02");
const TABLES = jobTablesOf(POOL);
const BODY = JSON.stringify({ spec: "text", steps: [{ count: 2, cpu: 1000, mem_mb: 100, est_duration_ms: 100 }] });
const DEADLINE_MS = 1500;
// Longer than a submission is repeated.
const LATE_MS = 3000;
const TIMEOUT_MS = 5000;
const JOB_STATE_SECONDS = 1200;

interface Entry {
    readonly store: StoreStandIn;
    readonly context: DispatcherContext;
    readonly submit: () => Promise<JobCallResult>;
    readonly cancel: () => Promise<JobCallResult>;
    readonly read: () => Promise<JobCallResult>;
    readonly storedJobs: () => readonly string[];
}

const startEntry = async (context: TestContext, monotonicMs = () => performance.now()): Promise<Entry> => {
    const store = await startStoreStandIn();
    context.after(store.close);
    const dispatcher = {
        settings: { jobStateSeconds: JOB_STATE_SECONDS },
        monotonicMs,
        log: () => undefined,
        metrics: { count: () => undefined },
        store: createTableStore({ address: store.address, monotonicMs }),
    } as unknown as DispatcherContext;
    const call = (): JobCall => ({
        queue: QUEUE,
        tenant: undefined,
        configuration: 1,
        id: ID,
        deadlineMs: performance.now() + DEADLINE_MS,
    });
    const marks = createCancellationMarks({ monotonicMs });
    return {
        store,
        context: dispatcher,
        submit: () => submitJob(dispatcher, call(), BODY),
        cancel: () => cancelJob(dispatcher, call(), marks),
        read: () => readJobState(dispatcher, call()),
        storedJobs: () =>
            store
                .rows(TABLES.jobs)
                .map(({ key }) => key)
                .filter(key => key === ID),
    };
};

const assertNeverAccepted = async ({ submit, read, cancel, storedJobs }: Entry): Promise<void> => {
    const late = await submit();
    assert.equal(late.kind, "not-run", "503 says truly that the job never runs");
    assert.equal(late.kind === "not-run" ? late.retryAfterSeconds : undefined, JOB_STATE_SECONDS);
    assert.deepEqual(storedJobs(), []);
    assert.deepEqual(await read(), { kind: "unknown-job" });
    assert.deepEqual(await cancel(), { kind: "unknown-job" }, "a repeated cancel");
};

test("a submission that arrives after its cancel was answered is not accepted", async context => {
    const entry = await startEntry(context);
    assert.deepEqual(await entry.cancel(), { kind: "unknown-job" });
    await assertNeverAccepted(entry);
});

test("a submission that the store carries out after its cancel was answered is not stored", async context => {
    const entry = await startEntry(context);
    entry.store.setFault({ kind: "late-writes", delayMs: LATE_MS });
    assert.equal((await entry.submit()).kind, "unknown");
    entry.store.setFault({ kind: "none" });
    assert.deepEqual(entry.storedJobs(), [], "the writes of the submission are still to be carried out");
    assert.deepEqual(await entry.cancel(), { kind: "unknown-job" });
    await sleep(LATE_MS);
    assert.deepEqual(entry.storedJobs(), []);
    await assertNeverAccepted(entry);
});

test("a cancel whose own write was carried out without an answer recognises it", async context => {
    const entry = await startEntry(context);
    entry.store.setFault({ kind: "lost-answers" });
    const cancel = entry.cancel();
    await sleep(DEADLINE_MS / 3);
    entry.store.setFault({ kind: "none" });
    assert.deepEqual(await cancel, { kind: "unknown-job" });
    await assertNeverAccepted(entry);
});

test("a cancel that the store does not answer is not said to be done", async context => {
    const entry = await startEntry(context);
    entry.store.setFault({ kind: "lost-answers" });
    const { kind } = await entry.cancel();
    assert.ok(kind === "unknown" || kind === "not-run", kind);
});

test("a job that is accepted while its cancel looks for it is cancelled, and one that was accepted before as well", async context => {
    const entry = await startEntry(context);
    const { store } = entry.context;
    let accepted: JobCallResult | undefined;
    const read = store.read;
    const racing: Entry["context"]["store"] = {
        ...store,
        read: async range => {
            const reading = await read(range);
            accepted ??= await entry.submit();
            return reading;
        },
    };
    const result = await cancelJob(
        { ...entry.context, store: racing },
        {
            queue: QUEUE,
            tenant: undefined,
            configuration: 1,
            id: ID,
            deadlineMs: performance.now() + DEADLINE_MS,
        },
        createCancellationMarks({ monotonicMs: () => 0 }),
    );
    assert.deepEqual([accepted, result], [{ kind: "accepted" }, { kind: "cancelled" }]);
    assert.deepEqual(await entry.read(), { kind: "state", state: "cancelled" });
    assert.deepEqual(await entry.submit(), { kind: "accepted" }, "the job's row exists");
});

// Such a row is left if only the job's progress was removed. The cancel must not repeat its calls without an end.
test("a cancel of a job whose progress is missing is not said to be done, and ends in time", async context => {
    const entry = await startEntry(context);
    const row = { table: TABLES.jobs, part: TABLES.part, key: ID };
    await entry.context.store.transact({ expect: [], writes: [{ ...row, value: "{}" }] });
    const before = entry.context.store.calls.writes;
    assert.equal((await entry.cancel()).kind, "not-run");
    const writes = entry.context.store.calls.writes - before;
    assert.ok(writes <= DEADLINE_MS / 40, `${writes} writes`);
});

test("the scheduler of the pool learns of the rows, and removes them like those of a finished job", async context => {
    const entry = await startEntry(context);
    const finished: unknown[] = [];
    let active = true;
    let isLoaded = false;
    context.after(() => (active = false));
    void followJobs({
        context: entry.context,
        pool: POOL,
        isActive: () => active,
        sink: {
            job: () => assert.fail("no job was accepted"),
            finished: job => finished.push(job),
            cancelled: () => undefined,
            changed: () => (isLoaded = true),
            readUpTo: () => undefined,
        },
    });
    const waitFor = async (check: () => boolean): Promise<void> => {
        for (const endMs = performance.now() + TIMEOUT_MS; !check(); await sleep(10)) {
            assert.ok(performance.now() < endMs, "in time");
        }
    };
    await waitFor(() => isLoaded);
    await entry.cancel();
    await waitFor(() => finished.length > 0);
    assert.deepEqual(finished, [{ id: ID, state: "cancelled" }]);
});

test("a flood of cancels of unknown jobs is limited, and more are possible after a while", () => {
    let nowMs = 0;
    const marks = createCancellationMarks({ monotonicMs: () => nowMs });
    const takeAll = (): number => {
        let taken = 0;
        while (marks.take()) {
            taken++;
        }
        return taken;
    };
    assert.equal(takeAll(), MAX_MARKS);
    nowMs = 10_000;
    assert.equal(takeAll(), 200);
    nowMs = 3_600_000;
    assert.equal(takeAll(), MAX_MARKS);
});
