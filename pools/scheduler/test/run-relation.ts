import type { Executor, Run, Task } from "@almondusher/scheduler/pool-tables";

/** Runs of an executor that are in the tables. */
export const runsOfExecutor = ({ runs }: Executor): readonly Run[] => [...runs.values()];

/** Runs of a task that are in the tables. */
export const runsOfTask = ({ runs }: Task): readonly Run[] => [...runs];
