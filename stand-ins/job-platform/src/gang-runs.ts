import { stepOf } from "./task-name.js";

/** A run as its gang knows it. */
interface GangRun {
    readonly task: string;
    readonly run: number;
}

/** Gangs whose members run on several executors: they work once all are present, and end together. */
export interface GangRuns {
    /** Adds a member, which `end` ends; returns false if the task is not part of a gang. */
    readonly join: (run: GangRun, end: (how: string) => void) => boolean;
    /** Removes a member that has ended. The others end as well. */
    readonly leave: (run: GangRun, how: string) => void;
}

export interface GangRunsOptions {
    /** Number of members of the task's gang; undefined if the task is not part of a gang. */
    readonly sizeOf: (task: string) => number | undefined;
    /** Run time of a gang in milliseconds, by one of its tasks. */
    readonly runMs: (task: string) => number;
}

interface Gang {
    readonly members: Map<string, (how: string) => void>;
    timer: NodeJS.Timeout | undefined;
}

// Time that members wait for the others.
const GANG_TIMEOUT_MS = 3000;

export const createGangRuns = ({ sizeOf, runMs }: GangRunsOptions): GangRuns => {
    const gangs = new Map<string, Gang>();
    const keyOf = ({ task, run }: GangRun): string => `${stepOf(task)} ${run}`;
    const endAll = (key: string, how: string): void => {
        const gang = gangs.get(key);
        gangs.delete(key);
        clearTimeout(gang?.timer);
        gang?.members.forEach(end => end(how));
    };
    return {
        join: (run, end) => {
            const size = sizeOf(run.task);
            if (size === undefined) {
                return false;
            }
            const key = keyOf(run);
            const gang = gangs.get(key) ?? {
                members: new Map<string, (how: string) => void>(),
                timer: setTimeout(() => endAll(key, "alone"), GANG_TIMEOUT_MS),
            };
            gangs.set(key, gang);
            gang.members.set(run.task, end);
            if (gang.members.size === size) {
                clearTimeout(gang.timer);
                gang.timer = setTimeout(() => endAll(key, "done"), runMs(run.task));
            }
            return true;
        },
        leave: (run, how) => {
            const gang = gangs.get(keyOf(run));
            gang?.members.delete(run.task);
            if (gang !== undefined && how !== "done") {
                endAll(keyOf(run), "broken");
            }
        },
    };
};
