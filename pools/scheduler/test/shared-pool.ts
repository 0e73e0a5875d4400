import { toId } from "@almondusher/fleet/ids";
import type { JobId, TenantName } from "@almondusher/jobs/ids";
import { allRuns, forgetRun } from "@almondusher/scheduler/run-table";
import { addJob, createPool, place, record, step } from "./fixture.js";

/** What one tenant sends. */
export interface TenantLoad {
    readonly name: string;
    readonly weight: number;
    /** Jobs a second at a time of the replay in milliseconds. */
    readonly rateAt: (nowMs: number) => number;
}

export interface SharedPoolOptions {
    readonly loads: readonly TenantLoad[];
    readonly durationMs: number;
    /** False if the configuration has no tenants. */
    readonly hasTenants?: boolean;
}

/** What the callers of one tenant got. */
export interface TenantOutcome {
    readonly name: string;
    /** Share of its jobs that ended within `IN_TIME_MS` of their arrival. */
    readonly inTime: number;
    readonly completed: number;
}

/** Jobs a second that the pool can run. */
export const POOL_RATE = 8;
const EXECUTORS = 8;
const TASKS = 4;
const RUN_MS = 1000;
const PASS_MS = 50;
/** Time from a job's arrival within which it is in time, in milliseconds. */
const IN_TIME_MS = 3000;

/** Replays the loads on one pool; jobs that arrive too late to end in time are not counted. */
export const replayLoads = ({ loads, durationMs, hasTenants = true }: SharedPoolOptions): readonly TenantOutcome[] => {
    const tables = createPool({
        executors: Array.from({ length: EXECUTORS }, (unused, index) => record(`executor-${index}`)),
    });
    const tenants = loads.map(({ name, weight, rateAt }, index) => ({
        name: toId<TenantName>(name),
        weight,
        rateAt,
        // Tenants start at different fractions of a job, so that they do not arrive together.
        due: index / loads.length,
        arrivals: new Map<JobId, number>(),
        ends: new Map<JobId, number>(),
    }));
    if (hasTenants) {
        tenants.forEach(({ name, weight }) =>
            tables.tenants.set(name, { name, weight, keys: [], cap: { cpu: 0, memoryMb: 0, gpu: 0 } }),
        );
    }
    const endRuns = (nowMs: number): void =>
        allRuns(tables).forEach(run => {
            run.phase = "running";
            if (nowMs - run.startedAtMs < RUN_MS) {
                return;
            }
            forgetRun(run);
            run.task.done = true;
            run.task.step.remaining--;
            const { job } = run.task.step;
            if (run.task.step.remaining === 0) {
                tables.jobs.delete(job.id);
                tenants.find(({ name }) => name === job.job.tenant)?.ends.set(job.id, nowMs);
            }
        });
    const addArrivals = (nowMs: number): void =>
        tenants.forEach(tenant => {
            tenant.due += (tenant.rateAt(nowMs) * PASS_MS) / 1000;
            while (tenant.due >= 1) {
                tenant.due--;
                const id = `${tenant.name}-${tenant.arrivals.size}`;
                tenant.arrivals.set(toId<JobId>(id), nowMs);
                addJob(tables, {
                    id,
                    steps: [step({ count: TASKS, estimateMs: RUN_MS })],
                    arrivedAtMs: nowMs,
                    tenant: tenant.name,
                });
            }
        });
    for (let nowMs = 0; nowMs <= durationMs; nowMs += PASS_MS) {
        endRuns(nowMs);
        addArrivals(nowMs);
        place(tables, nowMs);
    }
    return tenants.map(({ name, arrivals, ends }) => {
        const counted = [...arrivals].filter(([, arrivedAtMs]) => arrivedAtMs <= durationMs - IN_TIME_MS);
        const inTime = counted.filter(([id, arrivedAtMs]) => (ends.get(id) ?? Infinity) - arrivedAtMs <= IN_TIME_MS);
        return { name, inTime: inTime.length / Math.max(1, counted.length), completed: ends.size };
    });
};
