import type { Run } from "@almondusher/scheduler/pool-tables";
import { describeRun, tasksOf } from "./run-invariants.js";
import { runsOfExecutor, runsOfTask } from "./run-relation.js";
import type { ActiveSimulatedRun } from "./simulated-executor.js";
import { VM_CAPACITY } from "./simulated-fleet.js";
import type { SimulatedPool } from "./simulated-pool.js";

/** What still keeps the pool from its goal: all ordinary tasks done, those that last at work, and all executors in use. */
export const openGoals = (pool: SimulatedPool): readonly string[] => {
    const active = pool
        .executors()
        .flatMap(executor => executor.active().map(run => ({ ...run, executor: executor.id })));
    const known = [...pool.scheduler().tables.executors.values()].flatMap(runsOfExecutor);
    const isKnown = ({ task, run, executor }: ActiveSimulatedRun & { executor: string }): boolean =>
        known.some(
            candidate => candidate.task.id === task && candidate.number === run && candidate.executor.id === executor,
        );
    const isActive = (run: Run): boolean =>
        active.some(
            ({ task, run: number, executor }) =>
                task === run.task.id && number === run.number && executor === run.executor.id,
        );
    return [
        ...tasksOf(pool)
            .filter(task => !task.done && !task.step.step.longRunning)
            .map(task => `${task.id} is not done, its runs: ${runsOfTask(task).map(describeRun).join("; ") || "none"}`),
        ...tasksOf(pool)
            .filter(task => task.step.step.longRunning && active.filter(run => run.task === task.id).length !== 1)
            .map(
                task =>
                    `${task.id} is not at work, its runs: ${runsOfTask(task).map(describeRun).join("; ") || "none"}`,
            ),
        ...active
            .filter(run => !isKnown(run))
            .map(({ task, run, executor }) => `run ${run} of ${task} on ${executor} is not known`),
        ...known
            .filter(run => !isActive(run) || run.phase !== "running")
            .map(run => `not at work: ${describeRun(run)}`),
        ...pool.executors().flatMap(({ id }) => unusableBecause(pool, id)),
        ...[...pool.scheduler().tables.executors.values()]
            .filter(({ id }) => !pool.executors().some(executor => executor.id === id))
            .map(({ id }) => `${id} has ended and is still in the tables`),
    ];
};

const unusableBecause = (pool: SimulatedPool, id: string): readonly string[] => {
    const executor = [...pool.scheduler().tables.executors.values()].find(candidate => candidate.id === id);
    if (executor === undefined) {
        return [`${id} is not in the tables`];
    }
    const isUsable =
        executor.registered &&
        executor.reachable &&
        executor.reconciled &&
        executor.listedInLease &&
        executor.evacuation === undefined &&
        executor.orphanedRuns.length === 0;
    return isUsable ? [] : [`${id} is not in use`];
};

/**
 * Runs of one task that are active at once, executors whose active runs exceed the capacity, and tasks that start again after
 * an end as done was acknowledged.
 */
export const unsafeRuns = (pool: SimulatedPool): readonly string[] => {
    const executors = pool.executors();
    const active = executors.flatMap(executor => executor.active().map(run => ({ ...run, executor: executor.id })));
    const cpuOf = (runs: readonly ActiveSimulatedRun[]): number =>
        runs.reduce((sum, { work }) => sum + work.demand.cpu, 0);
    return [
        ...active
            .filter(run => active.some(other => other !== run && other.task === run.task))
            .map(
                ({ task }) =>
                    `${task} runs twice: ${active
                        .filter(run => run.task === task)
                        .map(run => `${run.run} on ${run.executor}`)
                        .join(", ")}`,
            ),
        ...executors
            .filter(executor => cpuOf(executor.active()) > VM_CAPACITY.cpu)
            .map(executor => `${executor.id} runs more than its capacity`),
        ...pool.doneTasks.startedAgain().map(task => `${task} starts again after its end as done was acknowledged`),
    ];
};
