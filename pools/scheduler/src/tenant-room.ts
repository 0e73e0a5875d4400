import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { isHeldByInheritedStart } from "./inherited-starts.js";
import { isReady, isJobEnded } from "./job-progress.js";
import { findTask, isWaiting, stepsOf, type OpenStep, type PoolTables, type Task } from "./pool-tables.js";
import { add, fits, freeResources, subtract, withoutDeficit } from "./resources.js";
import { allRuns } from "./run-table.js";
import { mayStillArrive } from "./undelivered-starts.js";

/** What the tenants' grants leave for further tasks on the pool. */
export interface TenantRoom {
    /** True if the next task of the step, or its whole gang, fits into the grant of its tenant. */
    readonly hasRoom: (step: OpenStep) => boolean;
    /** Takes the room of a number of tasks; false if they do not fit. */
    readonly take: (step: OpenStep, tasks: number) => boolean;
}

/** What a tenant with a cap uses, and could use, on the pool. */
export interface TenantDemand {
    readonly tenant: TenantName;
    readonly used: Resources;
    /** What is in use, and what tasks that are ready would use of the room that is free or soon becomes so. */
    readonly wanted: Resources;
    /** Demand of the next task or gang; nothing if no task is ready. */
    readonly unit: Resources;
}

const NOTHING: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };
// Share of a pool whose runs end before a grant can follow demand. More is not wanted of a pool that is full of others' runs:
// it could not be used there, and would be missing on pools with room.
const SOON_FREE = 1 / 8;
const ANY_ROOM: TenantRoom = { hasRoom: () => true, take: () => true };

const hasLimit = ({ cpu, memoryMb, gpu }: Resources): boolean => cpu > 0 || memoryMb > 0 || gpu > 0;

/** Tenants whose caps limit any resource. */
export const cappedTenants = ({ tenants }: PoolTables): ReadonlySet<TenantName> =>
    new Set([...tenants.values()].filter(({ cap }) => hasLimit(cap)).map(({ name }) => name));

/** Determines the room of all tenants with a cap once; jobs of no tenant, and of one without a cap, are not limited. */
export const createTenantRoom = (tables: PoolTables, nowMs: number): TenantRoom => {
    const capped = cappedTenants(tables);
    if (capped.size === 0) {
        return ANY_ROOM;
    }
    const used = tenantUse(tables, capped, nowMs);
    const free = new Map(
        [...capped].map(tenant => [tenant, subtract(limitOf(tables, tenant), used.get(tenant) ?? NOTHING)]),
    );
    const roomFor = (step: OpenStep, tasks: number): boolean => {
        const left = freeOf(step);
        return left === undefined || fits(times(step.step.demand, tasks), left);
    };
    const freeOf = ({ job }: OpenStep): Resources | undefined =>
        job.job.tenant === undefined ? undefined : free.get(job.job.tenant);
    return {
        hasRoom: step => roomFor(step, step.step.gang ? step.tasks.length : 1),
        take: (step, tasks) => {
            const left = freeOf(step);
            const { tenant } = step.job.job;
            if (left === undefined || tenant === undefined) {
                return true;
            }
            if (!roomFor(step, tasks)) {
                return false;
            }
            free.set(tenant, subtract(left, times(step.step.demand, tasks)));
            return true;
        },
    };
};

/** What the tenant may use on the pool; unlimited where its cap is 0. */
export const limitOf = ({ tenants, tenantGrants }: PoolTables, tenant: TenantName): Resources => {
    const cap = tenants.get(tenant)?.cap ?? NOTHING;
    const grant = tenantGrants.get(tenant) ?? NOTHING;
    const limit = (most: number, granted: number): number => (most > 0 ? Math.min(most, granted) : Infinity);
    return {
        cpu: limit(cap.cpu, grant.cpu),
        memoryMb: limit(cap.memoryMb, grant.memoryMb),
        gpu: limit(cap.gpu, grant.gpu),
    };
};

/**
 * What the runs of the tenants use: those in the tables, in whatever phase, and starts that may still be carried out. The
 * speed limits of tasks, and that backfill tasks reserve no CPU on their executors, do not matter to a cap.
 */
export const tenantUse = (
    tables: PoolTables,
    tenants: ReadonlySet<TenantName>,
    nowMs: number,
): ReadonlyMap<TenantName, Resources> => {
    const use = new Map<TenantName, Resources>();
    const count = ({ step }: Task): void => {
        const { tenant } = step.job.job;
        if (tenant !== undefined && tenants.has(tenant)) {
            use.set(tenant, add(use.get(tenant) ?? NOTHING, step.step.demand));
        }
    };
    allRuns(tables).forEach(({ task }) => count(task));
    tables.executors.forEach(({ undeliveredStarts }) =>
        undeliveredStarts.filter(run => mayStillArrive(run, nowMs)).forEach(({ task }) => count(task)),
    );
    tables.inheritedStarts.forEach((starts, id) => {
        const task = findTask(tables, id);
        if (task !== undefined && isHeldByInheritedStart(tables, id)) {
            starts.forEach(() => count(task));
        }
    });
    return use;
};

/** Determines the demand of each tenant with a cap. */
export const tenantDemands = (tables: PoolTables, nowMs: number): readonly TenantDemand[] => {
    const capped = cappedTenants(tables);
    if (capped.size === 0) {
        return [];
    }
    const use = tenantUse(tables, capped, nowMs);
    const executors = [...tables.executors.values()].filter(({ registered, record }) => registered && !record.draining);
    const capacity = executors.reduce((sum, { record }) => add(sum, record.capacity), NOTHING);
    const free = executors.reduce((sum, executor) => add(sum, withoutDeficit(freeResources(executor))), NOTHING);
    const room = add(free, times(capacity, SOON_FREE));
    const readyByTenant = readySteps(tables, capped);
    return [...capped].map(tenant => {
        const used = use.get(tenant) ?? NOTHING;
        const waiting = (readyByTenant.get(tenant) ?? []).map(({ step, tasks }) => ({
            unit: step.gang ? times(step.demand, tasks.length) : step.demand,
            demand: times(step.demand, tasks.filter(isWaiting).length),
        }));
        const ready = waiting.reduce((sum, { demand }) => add(sum, demand), NOTHING);
        const unit = waiting.reduce((largest, { unit: ofStep }) => combine(largest, ofStep, Math.max), NOTHING);
        // Room is kept for a long task only within a grant, so its grant must not wait for the room.
        const startable = combine(ready, combine(room, unit, Math.max), Math.min);
        return {
            tenant,
            used,
            wanted: combine(used, combine(add(used, startable), capacity, Math.min), Math.max),
            unit,
        };
    });
};

const readySteps = (
    tables: PoolTables,
    tenants: ReadonlySet<TenantName>,
): ReadonlyMap<TenantName, readonly OpenStep[]> => {
    const ready = new Map<TenantName, OpenStep[]>();
    tables.jobs.forEach(job => {
        const { tenant } = job.job;
        if (tenant !== undefined && tenants.has(tenant) && !isJobEnded(job)) {
            const steps = stepsOf(job).filter(step => isReady(step) && step.tasks.some(isWaiting));
            ready.set(tenant, [...(ready.get(tenant) ?? []), ...steps]);
        }
    });
    return ready;
};

const times = ({ cpu, memoryMb, gpu }: Resources, count: number): Resources => ({
    cpu: cpu * count,
    memoryMb: memoryMb * count,
    gpu: gpu * count,
});

const combine = (left: Resources, right: Resources, of: (left: number, right: number) => number): Resources => ({
    cpu: of(left.cpu, right.cpu),
    memoryMb: of(left.memoryMb, right.memoryMb),
    gpu: of(left.gpu, right.gpu),
});
