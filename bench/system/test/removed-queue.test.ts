import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startAdviceStandIn, type AdviceStandIn } from "@almondusher/job-platform-stand-in/advice";
import {
    countOverlappingRuns,
    findScheduler,
    hasEnded,
    JOB_HOST,
    JOB_ROUTE,
    jobConfiguration,
    jobId,
    sendRequest,
    startJobDeployment,
    startedTasks,
    waitUntil,
    type ClientResponse,
    type DeployedDispatcher,
    type JobDeployment,
    type JobRequest,
} from "@almondusher/system-bench/job-deployment";

// The terms of a queue were known only to processes that had seen it in the configuration. After its removal and a takeover,
// starts went without tickets, thousands of them rejected, and a job with attempts left was shown as failed.

const START_TIMEOUT_MS = 15_000;
const JOB_TIMEOUT_MS = 20_000;
const TAKEOVER_TIMEOUT_MS = 8000;
// A configuration is in force after this time.
const CONFIGURATION_MS = 1500;
const FIRST_STEP_MS = 4000;
const SECOND_STEP_MS = 300;
const TASKS = 2;
// The dispatcher shares the tables of this many groups among its pools.
const TABLE_GROUPS = 40;
// Starts that are under way when the first rejection arrives.
const MAX_REJECTED_STARTS = 10;

const ADVICE = { decide_ms: 20, each_ms: 1, valid_ms: 3000 };
const ADVISED_ROUTE = { ...JOB_ROUTE, name: "advised", prefix: "/advised/", advice: ADVICE };
const RETRIED_ROUTE = { ...JOB_ROUTE, name: "retried", prefix: "/retried/", max_attempts: 3 };
const KEPT_ROUTE = { ...JOB_ROUTE, name: "kept", prefix: "/kept/" };
const ALL_ROUTES = [ADVISED_ROUTE, RETRIED_ROUTE, KEPT_ROUTE];

const ADVISED = { id: jobId(0xa1), prefix: ADVISED_ROUTE.prefix };
const RETRIED = { id: jobId(0xb2), prefix: RETRIED_ROUTE.prefix };
type OpenJob = typeof ADVISED;

const STEPS = [
    { count: TASKS, cpu: 1000, mem_mb: 100, est_duration_ms: FIRST_STEP_MS },
    { count: TASKS, cpu: 1000, mem_mb: 100, est_duration_ms: SECOND_STEP_MS, after: [0] },
];

interface RemovedQueues {
    readonly deployment: JobDeployment;
    readonly advice: AdviceStandIn;
    readonly configure: (version: number, routes: readonly object[]) => Promise<void>;
    /** Sends a client's request to a dispatcher that runs. */
    readonly ask: (job: OpenJob, method: JobRequest["method"], body?: object) => Promise<ClientResponse>;
    readonly isCompleted: (job: OpenJob) => Promise<boolean>;
}

const isFirstStep = (task: string): boolean => task.split(".")[2] === "0";

/** Starts a deployment with one open job in each of two queues. The second job's first task of its second step fails once. */
const startWithOpenJobs = async (context: TestContext): Promise<RemovedQueues> => {
    const advice = await startAdviceStandIn(ADVICE);
    context.after(advice.close);
    let failures = 0;
    const deployment = await startJobDeployment({
        dispatchers: 2,
        executors: 3,
        configuration: jobConfiguration({ routes: ALL_ROUTES }),
        runMs: task => (isFirstStep(task) ? FIRST_STEP_MS : SECOND_STEP_MS),
        outcomeOf: task => (task.startsWith(RETRIED.id) && !isFirstStep(task) && failures++ === 0 ? "failed" : "done"),
        advice: { service: advice, isAdvised: task => task.startsWith(ADVISED.id) },
    });
    context.after(deployment.close);
    const ask: RemovedQueues["ask"] = ({ id, prefix }, method, body) => {
        const entry = deployment.dispatchers.find(dispatcher => !hasEnded(dispatcher));
        assert.ok(entry !== undefined, "a dispatcher that runs");
        return sendRequest(entry, { method, path: prefix + id, body, headers: { host: JOB_HOST } });
    };
    for (const job of [ADVISED, RETRIED]) {
        assert.equal((await ask(job, "POST", { spec: "text", steps: STEPS })).status, 200);
    }
    await waitUntil("the first steps to run", START_TIMEOUT_MS, () =>
        [ADVISED, RETRIED].every(({ id }) => startedTasks(deployment, id).length === TASKS),
    );
    return {
        deployment,
        advice,
        ask,
        configure: async (version, routes) => {
            deployment.store.put("op", "config", jobConfiguration({ version, routes }));
            await sleep(CONFIGURATION_MS);
        },
        isCompleted: async job => (await ask(job, "GET")).body.state === "completed",
    };
};

const schedulerOf = async (deployment: JobDeployment): Promise<DeployedDispatcher> => {
    const found = (): DeployedDispatcher | undefined => {
        const scheduler = findScheduler(deployment);
        return scheduler === undefined || hasEnded(scheduler) ? undefined : scheduler;
    };
    await waitUntil("a scheduler that runs", TAKEOVER_TIMEOUT_MS, () => found() !== undefined);
    return found() as DeployedDispatcher;
};

const end = async ({ process, ended }: DeployedDispatcher, signal: NodeJS.Signals): Promise<void> => {
    process.kill(signal);
    await ended;
};

const rejectedTickets = ({ executors }: JobDeployment): number =>
    executors.reduce((sum, executor) => sum + executor.rejectedTickets(), 0);

const countEnds = ({ executors }: JobDeployment, how: string): number =>
    executors.flatMap(({ started }) => started).filter(run => run.how === how).length;

interface Takeover {
    readonly name: string;
    readonly play: (deployment: JobDeployment) => Promise<void>;
}

const takeovers: readonly Takeover[] = [
    {
        name: "its scheduler is stopped and started again",
        play: async deployment => {
            const scheduler = await schedulerOf(deployment);
            await end(scheduler, "SIGTERM");
            await deployment.startDispatcher(scheduler.vm);
        },
    },
    {
        name: "all processes are killed, and VMs that joined after the removal schedule it",
        play: async deployment => {
            const former = [...deployment.dispatchers];
            await Promise.all(former.map(dispatcher => end(dispatcher, "SIGKILL")));
            await deployment.startDispatcher("entry-new-0");
            await deployment.startDispatcher("entry-new-1");
        },
    },
    {
        name: "its scheduler is killed twice in a row",
        play: async deployment => {
            for (const vm of ["entry-new-0", "entry-new-1"]) {
                await deployment.startDispatcher(vm);
                await end(await schedulerOf(deployment), "SIGKILL");
            }
        },
    },
];

takeovers.forEach(({ name, play }) => {
    test(`jobs of removed queues keep their tickets and attempts when ${name}`, async context => {
        const { deployment, ask, configure, isCompleted } = await startWithOpenJobs(context);
        await configure(2, [KEPT_ROUTE]);
        await play(deployment);
        const isDone = ({ id }: OpenJob): boolean =>
            new Set(
                deployment.executors
                    .flatMap(({ started }) => started)
                    .filter(({ task, how }) => task.startsWith(id) && how === "done")
                    .map(({ task }) => task),
            ).size ===
            2 * TASKS;
        await waitUntil("the tasks of both jobs to be done", JOB_TIMEOUT_MS, () => [ADVISED, RETRIED].every(isDone));
        assert.equal(rejectedTickets(deployment), 0);
        assert.equal(countEnds(deployment, "failed"), 1, "the attempt that was to fail");
        assert.equal((await ask(RETRIED, "GET")).status, 404, "the queue of the job was removed");
        await configure(3, ALL_ROUTES);
        await waitUntil("both jobs to be shown as completed", JOB_TIMEOUT_MS, async () =>
            (await Promise.all([ADVISED, RETRIED].map(isCompleted))).every(Boolean),
        );
        assert.equal((await ask(RETRIED, "POST", { spec: "text", steps: STEPS })).status, 200, "a repeated submission");
        await sleep(CONFIGURATION_MS);
        assert.equal(startedTasks(deployment, RETRIED.id).length, 2 * TASKS + 1);
        assert.equal(countOverlappingRuns(deployment), 0);
    });
});

/** Takes the terms out of the rows of the open jobs, as an earlier version has stored them. */
const removeStoredTerms = ({ store }: JobDeployment): void =>
    Array.from({ length: TABLE_GROUPS }, (unused, group) => `jobs-${group}`).forEach(table =>
        store.rows(table).forEach(({ part, key, value }) => {
            const { job, ...row } = value as { readonly job: object };
            store.amend({ table, part, key }, { ...row, job: { ...job, terms: undefined } });
        }),
    );

test("jobs of removed queues that an earlier version has stored fail by no guess, and flood no executor with starts", async context => {
    const { deployment, ask, advice, configure, isCompleted } = await startWithOpenJobs(context);
    await configure(2, [KEPT_ROUTE]);
    removeStoredTerms(deployment);
    await Promise.all([...deployment.dispatchers].map(dispatcher => end(dispatcher, "SIGKILL")));
    await deployment.startDispatcher("entry-new-0");
    await waitUntil("the attempt that fails", JOB_TIMEOUT_MS, () => countEnds(deployment, "failed") === 1);
    await waitUntil(
        "the advised job to start its second step",
        JOB_TIMEOUT_MS,
        () => startedTasks(deployment, ADVISED.id).length === 2 * TASKS,
    );
    assert.ok(advice.calls() > 0);
    assert.ok(rejectedTickets(deployment) <= MAX_REJECTED_STARTS, `${rejectedTickets(deployment)} rejected starts`);
    // Nobody knows whether the task that failed may be attempted again.
    await sleep(CONFIGURATION_MS);
    assert.equal(startedTasks(deployment, RETRIED.id).length, 2 * TASKS);
    await configure(3, ALL_ROUTES);
    await waitUntil("both jobs to be completed", JOB_TIMEOUT_MS, async () =>
        (await Promise.all([ADVISED, RETRIED].map(isCompleted))).every(Boolean),
    );
    assert.equal(startedTasks(deployment, RETRIED.id).length, 2 * TASKS + 1);
    assert.equal((await ask(RETRIED, "DELETE")).status, 200);
});
