/** Parts of the name of a task. */
export interface TaskName {
    readonly job: string;
    /** Number of the step, counting from 0. */
    readonly step: number;
}

/** Splits the name of a task, which has the form JOB.OCCURRENCE.STEP.INDEX. */
export const parseTaskName = (task: string): TaskName => {
    const [job = "", , step] = task.split(".");
    return { job, step: Number(step) };
};

/** Name of the step of a task, which a gang shares: the name without its index. */
export const stepOf = (task: string): string => task.slice(0, task.lastIndexOf("."));
