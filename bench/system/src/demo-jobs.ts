import { createJobCli, QUEUE_NAME, type JobCli } from "./job-cli.js";
import { type JobDeployment, schedulerOf, startJobDeployment, startsOf, waitUntil } from "./job-deployment.js";

const DISPATCHERS = 3;
const EXECUTORS = 3;
const RUN_MS = 1500;
const TASKS = 12;
const JOBS = 4;
// The lease of a pool, a look at its executors, and the runs that have to begin again.
const COMPLETED_LIMIT_MS = 60_000;
const RUNNING_LIMIT_MS = 20_000;

/** Prints a line of the demo; a condition that does not hold ends it. */
export interface DemoOutput {
    readonly print: (text: string) => void;
    readonly expect: (condition: boolean, message: string) => void;
}

interface SubmittedJob {
    readonly id: string;
    readonly state: () => Promise<unknown>;
}

/** Submits jobs, cancels one, loses an executor and a scheduler, and shows what happened to a job. */
export const demonstrateJobs = async ({ print, expect }: DemoOutput): Promise<void> => {
    const deployment = await startJobDeployment({
        dispatchers: DISPATCHERS,
        executors: EXECUTORS,
        runMs: () => RUN_MS,
    });
    const cli = createJobCli(deployment.dispatchers.map(({ address }) => address));
    try {
        print(`Jobs: ${DISPATCHERS} dispatchers, ${EXECUTORS} executors`);
        const jobs = await submitJobs(cli);
        print(`ok    ${jobs.length} jobs of ${TASKS} tasks were accepted`);
        const [cancelled, ...others] = jobs;
        await cli.run(["cancel", QUEUE_NAME, cancelled?.id ?? ""]);
        expect((await cancelled?.state()) === "cancelled", "a cancelled job is shown as cancelled");
        await waitUntil("a job at work", RUNNING_LIMIT_MS, () => startsOf(deployment, others[0]?.id ?? "").length > 0);
        loseExecutor(deployment);
        const scheduler = await killScheduler(deployment);
        print(`ok    an executor restarted and the scheduler on ${scheduler} was killed`);
        await Promise.all(
            others.map(({ id, state }) =>
                waitUntil(`job ${id} completed`, COMPLETED_LIMIT_MS, async () => (await state()) === "completed"),
            ),
        );
        print(`ok    the other ${others.length} jobs completed`);
        await explain(cli, deployment, others[0]?.id ?? "", print);
    } finally {
        await deployment.close();
        cli.remove();
    }
};

const submitJobs = async (cli: JobCli): Promise<readonly SubmittedJob[]> => {
    const file = cli.write(
        "job.json",
        JSON.stringify({
            spec: "demo",
            steps: [{ count: TASKS, cpu: 1000, mem_mb: 100, est_duration_ms: RUN_MS }],
        }),
    );
    const submitted = await Promise.all(Array.from({ length: JOBS }, () => cli.run(["submit", QUEUE_NAME, file])));
    return submitted.map(({ output }) => {
        const id = String(output["job"]);
        return { id, state: async () => (await cli.run(["show", QUEUE_NAME, id])).output["state"] };
    });
};

const loseExecutor = ({ executors }: JobDeployment): void => executors[0]?.restart();

const killScheduler = async (deployment: JobDeployment): Promise<string> => {
    const scheduler = schedulerOf(deployment);
    scheduler?.process.kill("SIGKILL");
    await scheduler?.ended;
    return scheduler?.vm ?? "no VM";
};

const explain = async (
    cli: JobCli,
    { dispatchers }: JobDeployment,
    job: string,
    print: DemoOutput["print"],
): Promise<void> => {
    const { output } = await cli.run(["explain", job, ...cli.writeLogs(dispatchers)]);
    print(`what the logs say of job ${job}:`);
    (output["findings"] as readonly string[]).forEach(line => print(`      ${line}`));
};
