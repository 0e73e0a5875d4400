import { setTimeout as sleep } from "node:timers/promises";
import type { Draw } from "./draw.js";
import { jobId } from "./job-deployment.js";
import type { SoakJob } from "./soak-job.js";
import { sendTo, type SoakedDispatcher } from "./soaked-dispatcher.js";

export interface SubmissionOptions {
    readonly dispatchers: readonly SoakedDispatcher[];
    readonly draw: Draw;
    readonly intervalMs: number;
    readonly nextJob: () => SoakJob;
}

/** Jobs that are sent in the background. */
export interface Submission {
    /** All jobs that were sent, by id. */
    readonly sent: ReadonlyMap<string, SoakJob>;
    readonly accepted: ReadonlySet<string>;
    /** Resolves once the last job was answered. */
    readonly stop: () => Promise<void>;
}

/** Sends jobs, each to a drawn dispatcher, until it is stopped. */
export const submitJobs = ({ dispatchers, draw, intervalMs, nextJob }: SubmissionOptions): Submission => {
    const sent = new Map<string, SoakJob>();
    const accepted = new Set<string>();
    let stopped = false;
    const submitOne = async (id: string): Promise<void> => {
        const entry = dispatchers[draw(0, dispatchers.length - 1)];
        const job = nextJob();
        sent.set(id, job);
        if ((await sendTo(entry, "POST", id, job)) === 200) {
            accepted.add(id);
        }
    };
    const submitAll = async (): Promise<void> => {
        const calls: Promise<void>[] = [];
        for (let number = 1; !stopped; number++) {
            calls.push(submitOne(jobId(number)));
            await sleep(intervalMs);
        }
        await Promise.all(calls);
    };
    const running = submitAll();
    return {
        sent,
        accepted,
        stop: () => {
            stopped = true;
            return running;
        },
    };
};
