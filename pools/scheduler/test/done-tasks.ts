import type { TaskId } from "@almondusher/jobs/ids";

/** Tasks that must not start again, since an end of one of their runs as done was acknowledged. */
export interface DoneTasks {
    readonly acknowledge: (task: TaskId) => void;
    readonly start: (task: TaskId) => void;
    /** Tasks that have started after such an end. */
    readonly startedAgain: () => readonly TaskId[];
}

/** Creates the record of a simulation in which no task is done yet. */
export const createDoneTasks = (): DoneTasks => {
    const done = new Set<TaskId>();
    let startedAgain: readonly TaskId[] = [];
    return {
        acknowledge: task => void done.add(task),
        start: task => {
            if (done.has(task)) {
                startedAgain = [...startedAgain, task];
            }
        },
        startedAgain: () => startedAgain,
    };
};
