import { stepsOf, type Run, type Task } from "@almondusher/scheduler/pool-tables";
import { runsOfExecutor, runsOfTask } from "./run-relation.js";
import type { SimulatedPool } from "./simulated-pool.js";

/** All tasks of open jobs. */
export const tasksOf = (pool: SimulatedPool): readonly Task[] =>
    [...pool.scheduler().tables.jobs.values()].flatMap(stepsOf).flatMap(step => step.tasks);

/** Describes a run for a failure message. */
export const describeRun = ({ task, number, phase, executor }: Run): string =>
    `run ${number} of ${task.id}, ${phase} on ${executor.id}`;

/** Violated invariants of the tables; none if they are sound. */
export const brokenInvariants = (pool: SimulatedPool): readonly string[] => {
    const ofExecutors = [...pool.scheduler().tables.executors.values()].flatMap(runsOfExecutor);
    const ofTasks = tasksOf(pool).flatMap(runsOfTask);
    return [
        ...ofTasks
            .filter(run => !runsOfExecutor(run.executor).includes(run))
            .map(run => `no executor has ${describeRun(run)}`),
        ...ofExecutors
            .filter(run => !runsOfTask(run.task).includes(run))
            .map(run => `its task does not have ${describeRun(run)}`),
        ...ofTasks
            .filter(({ executor }) => pool.scheduler().tables.executors.get(executor.id) !== executor)
            .map(run => `the executor is not in the tables of ${describeRun(run)}`),
        ...ofExecutors.filter(run => endingOf(pool, run) === undefined).map(run => `nothing ends ${describeRun(run)}`),
    ];
};

/** What ends a run, or shows that it is active. */
type Ending = "answer-of-start" | "next-report" | "stop";

const endingOf = (pool: SimulatedPool, run: Run): Ending | undefined => {
    const connection = pool.scheduler().connectionOf(run.executor);
    if (connection === undefined) {
        return undefined;
    }
    switch (run.phase) {
        case "starting":
            // An answer, or the time limit of the request.
            return connection.isStartOutstanding(run) ? "answer-of-start" : undefined;
        case "running":
            // The run has been confirmed, so a later report must list it; without reports its lease expires, which needs a
            // reading of the clock.
            return run.confirmedAtMs !== undefined && run.executor.clock !== undefined ? "next-report" : undefined;
        case "unsettled":
            // A report that is requested after the time limit lists the run or makes it `missing`; without reports the
            // longest lease expires.
            return run.unansweredAtMs !== undefined ? "next-report" : undefined;
        case "missing":
            return "stop";
        case "stopping":
            // Stops are repeated until one is accepted. The run is then confirmed, and ends with the next report.
            return run.stopCause !== undefined ? "stop" : undefined;
    }
};
