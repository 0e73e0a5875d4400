import { createJobCli, QUEUE_NAME, type JobCli } from "./job-cli.js";
import { type JobDeployment, findScheduler, startJobDeployment, startedTasks, waitUntil } from "./job-deployment.js";

const DISPATCHERS = 3;
const EXECUTORS = 3;
const TASK_RUN_MS = 1500;
const TASKS = 12;
const JOBS = 4;
// Covers the expiry of the pool's lease, the successor's first poll of the executors, and the repeated runs.
const COMPLETED_TIMEOUT_MS = 60_000;
const RUNNING_TIMEOUT_MS = 20_000;

/** Output of the demo. */
export interface DemoOutput {
    readonly print: (text: string) => void;
    /** Prints the message if the condition holds; throws otherwise. */
    readonly expect: (condition: boolean, message: string) => void;
}

interface SubmittedJob {
    readonly id: string;
    readonly state: () => Promise<unknown>;
}

/** Submits jobs, cancels one, restarts an executor, kills the scheduler and prints the history of one job. */
export const demonstrateJobs = async ({ print, expect }: DemoOutput): Promise<void> => {
    const deployment = await startJobDeployment({
        dispatchers: DISPATCHERS,
        executors: EXECUTORS,
        runMs: () => TASK_RUN_MS,
    });
    const cli = createJobCli(deployment.dispatchers.map(({ address }) => address));
    try {
        print(`Jobs: ${DISPATCHERS} dispatchers, ${EXECUTORS} executors`);
        const jobs = await submitJobs(cli);
        print(`ok    ${jobs.length} jobs of ${TASKS} tasks were accepted`);
        const [cancelled, ...others] = jobs;
        await cli.run(["cancel", QUEUE_NAME, cancelled?.id ?? ""]);
        expect((await cancelled?.state()) === "cancelled", "a cancelled job is shown as cancelled");
        await waitUntil(
            "the first task start of a job",
            RUNNING_TIMEOUT_MS,
            () => startedTasks(deployment, others[0]?.id ?? "").length > 0,
        );
        restartExecutor(deployment);
        const scheduler = await killScheduler(deployment);
        print(`ok    an executor restarted and the scheduler on ${scheduler} was killed`);
        await Promise.all(
            others.map(({ id, state }) =>
                waitUntil(`job ${id} to complete`, COMPLETED_TIMEOUT_MS, async () => (await state()) === "completed"),
            ),
        );
        print(`ok    the other ${others.length} jobs completed`);
        await printExplanation(cli, deployment, others[0]?.id ?? "", print);
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
            steps: [{ count: TASKS, cpu: 1000, mem_mb: 100, est_duration_ms: TASK_RUN_MS }],
        }),
    );
    const submitted = await Promise.all(Array.from({ length: JOBS }, () => cli.run(["submit", QUEUE_NAME, file])));
    return submitted.map(({ output }) => {
        const id = String(output["job"]);
        return { id, state: async () => (await cli.run(["show", QUEUE_NAME, id])).output["state"] };
    });
};

const restartExecutor = ({ executors }: JobDeployment): void => executors[0]?.restart();

const killScheduler = async (deployment: JobDeployment): Promise<string> => {
    const scheduler = findScheduler(deployment);
    scheduler?.process.kill("SIGKILL");
    await scheduler?.ended;
    return scheduler?.vm ?? "no VM";
};

const printExplanation = async (
    cli: JobCli,
    { dispatchers }: JobDeployment,
    job: string,
    print: DemoOutput["print"],
): Promise<void> => {
    const { output } = await cli.run(["explain", job, ...cli.writeLogs(dispatchers)]);
    print(`what the logs say of job ${job}:`);
    (output["findings"] as readonly string[]).forEach(line => print(`      ${line}`));
};
