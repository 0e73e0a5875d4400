import type { JobId } from "@almondusher/jobs/ids";
import type { JobState } from "@almondusher/jobs/job";
import type { PoolName } from "@almondusher/fleet/ids";
import type { RowKey } from "@almondusher/platform-adapter/table-store";
import { repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { cancellationRow, cancelledProgressRow, jobRow, jobTablesOf, progressRow, type JobTables } from "./job-rows.js";

/** A job whose final state is stored. */
export interface FinishedJob {
    readonly id: JobId;
    readonly state: JobState;
}

/**
 * Removes the rows of finished jobs, so that a successor reads little more than the open jobs. The description of a job goes
 * at once. Its progress goes after the retention time: until then it answers requests for the state, and a repeated submission
 * of the job conflicts with it.
 */
export interface FinishedJobRows {
    /** Adding a job again, for example after a reload, does not prolong the time. */
    readonly add: (job: FinishedJob) => void;
}

export interface FinishedJobRowsOptions {
    readonly context: DispatcherContext;
    readonly pool: PoolName;
    /** Time for which the state of a finished job stays readable, in seconds. */
    readonly jobStateSeconds: number;
    readonly isActive: () => boolean;
    /** False while another scheduler may have taken over. */
    readonly mayStore: () => boolean;
}

/** A finished job whose progress is still stored. */
interface StoredState {
    readonly job: FinishedJob;
    /** Time on the monotonic clock at which its progress may be removed, in milliseconds. */
    readonly removableAtMs: number;
}

/** Rows of one transaction, and the jobs that they belong to. */
interface Removal {
    readonly descriptions: readonly JobId[];
    readonly states: readonly FinishedJob[];
}

const MS_PER_SECOND = 1000;
/** Later than any repeated submission of a job that has ended: one that came after the removal would run the job again. */
const MIN_RETENTION_SECONDS = 600;
const REMOVAL_INTERVAL_MS = 1000;
/** Pause between full transactions, which leaves most of a partition's rate of writes to others. */
const FULL_REMOVAL_INTERVAL_MS = 100;
// The store takes at most 100 rows in a transaction; a state has up to three.
const MAX_DESCRIPTIONS_PER_REMOVAL = 60;
const MAX_STATES_PER_REMOVAL = 13;

/** Time for which the progress of a finished job is kept, in seconds, given how long its state must stay readable. */
export const retentionSecondsOf = (jobStateSeconds: number): number => Math.max(jobStateSeconds, MIN_RETENTION_SECONDS);

export const createFinishedJobRows = (options: FinishedJobRowsOptions): FinishedJobRows => {
    const { context, pool, isActive, mayStore } = options;
    const tables = jobTablesOf(pool);
    const retentionMs = retentionSecondsOf(options.jobStateSeconds) * MS_PER_SECOND;
    const descriptions = new Set<JobId>();
    // In the order of the ends, which is that of the times of removal.
    const states = new Map<JobId, StoredState>();
    const nextRemoval = (): Removal => {
        const nowMs = context.monotonicMs();
        const oldest = [...states.values()].slice(0, MAX_STATES_PER_REMOVAL);
        return {
            descriptions: [...descriptions].slice(0, MAX_DESCRIPTIONS_PER_REMOVAL),
            states: oldest.filter(({ removableAtMs }) => removableAtMs <= nowMs).map(({ job }) => job),
        };
    };
    const isFull = (removal: Removal): boolean =>
        removal.descriptions.length === MAX_DESCRIPTIONS_PER_REMOVAL ||
        removal.states.length === MAX_STATES_PER_REMOVAL;
    const remove = async (removal: Removal): Promise<void> => {
        const removals = [
            ...removal.descriptions.map(id => jobRow(tables, id)),
            ...removal.states.flatMap(job => rowsOfState(tables, job)),
        ];
        if (removals.length === 0 || !mayStore()) {
            return;
        }
        const { kind } = await context.store.transact({ expect: [], writes: [], removals });
        if (kind === "committed" || kind === "rejected") {
            removal.descriptions.forEach(id => descriptions.delete(id));
            removal.states.forEach(({ id }) => states.delete(id));
        }
        if (kind !== "committed") {
            context.metrics.count("finished_job_removals_failed");
        }
    };
    void repeatWhileActive({
        context,
        part: "finished-job-rows",
        isActive,
        step: async () => {
            await sleep(isFull(nextRemoval()) ? FULL_REMOVAL_INTERVAL_MS : REMOVAL_INTERVAL_MS);
            if (isActive()) {
                await remove(nextRemoval());
            }
        },
    });
    return {
        add: ({ id, state }) => {
            if (!states.has(id)) {
                descriptions.add(id);
                // A copy, since the caller's job may hold its whole description.
                states.set(id, { job: { id, state }, removableAtMs: context.monotonicMs() + retentionMs });
            }
        },
    };
};

const rowsOfState = (tables: JobTables, { id, state }: FinishedJob): readonly RowKey[] =>
    state === "cancelled"
        ? [progressRow(tables, id), cancelledProgressRow(tables, id), cancellationRow(tables, id)]
        : [progressRow(tables, id)];
