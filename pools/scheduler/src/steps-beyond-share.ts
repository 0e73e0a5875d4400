import type { TenantName } from "@almondusher/jobs/ids";
import { countUse, USE_WINDOW_MS, usedInWindow } from "@almondusher/shares/use-window";
import { weightedShares } from "@almondusher/shares/weighted-shares";
import { isUsable } from "./executor-usability.js";
import { isWaiting, type OpenStep, type PoolTables } from "./pool-tables.js";
import { demandOf } from "./resources.js";
import { allRuns } from "./run-table.js";

const NONE: ReadonlySet<OpenStep> = new Set();
// Weight of a tenant that the configuration no longer has.
const DEFAULT_WEIGHT = 1;

/** Inputs of the decision that the order of the steps has already determined. */
export interface ShareOptions {
    readonly nowMs: number;
    /** Expected run time of a task of the step, in milliseconds. */
    readonly runMsOf: (step: OpenStep) => number;
}

/**
 * Steps of tenants that have used, or would use with their steps before it in the given order, their share of what the
 * pool can do within the window. Shares are weighted max-min fair among the tenants with work, so that there are none
 * while the pool has room for all. Long-running tasks take part neither in the shares nor in what is shared.
 */
export const stepsBeyondShare = (
    tables: PoolTables,
    steps: readonly OpenStep[],
    { nowMs, runMsOf }: ShareOptions,
): ReadonlySet<OpenStep> => {
    if (tables.tenants.size === 0) {
        return NONE;
    }
    const timed = steps.filter(({ step, job }) => !step.longRunning && job.job.tenant !== undefined);
    const uses = allRuns(tables).map(run => ({
        run,
        tenant: run.task.step.job.job.tenant,
        cpu: demandOf(run.task.step.step).cpu,
        startedAtMs: run.startedAtMs,
        longRunning: run.task.step.step.longRunning,
    }));
    countUse(
        tables.recentTenantUse,
        nowMs,
        uses.flatMap(({ tenant, longRunning, ...use }) =>
            tenant === undefined || longRunning ? [] : [{ ...use, tenant }],
        ),
    );
    if (timed.length === 0) {
        return NONE;
    }
    const lastingCpu = sumOf(uses.filter(({ longRunning }) => longRunning).map(({ cpu }) => cpu));
    const costs = new Map(timed.map(step => [step, costOf(step, runMsOf(step))] as const));
    const used = usedInWindow(tables.recentTenantUse);
    const excess = excessByTenant(
        tables,
        wantedByTenant(used, costs),
        (usableCpu(tables, nowMs) - lastingCpu) * USE_WINDOW_MS,
    );
    return new Set(
        timed.filter(step => {
            const { tenant } = step.job.job;
            const share = tenant === undefined ? undefined : excess.get(tenant);
            if (tenant === undefined || share === undefined) {
                return false;
            }
            const before = used.get(tenant) ?? 0;
            used.set(tenant, before + (costs.get(step) ?? 0));
            return before >= share;
        }),
    );
};

const wantedByTenant = (
    used: ReadonlyMap<TenantName, number>,
    costs: ReadonlyMap<OpenStep, number>,
): ReadonlyMap<TenantName, number> => {
    const wanted = new Map(used);
    costs.forEach((cost, { job }) => {
        const { tenant } = job.job;
        if (tenant !== undefined) {
            wanted.set(tenant, (wanted.get(tenant) ?? 0) + cost);
        }
    });
    return wanted;
};

/** Shares of the tenants that want more than theirs. */
const excessByTenant = (
    tables: PoolTables,
    wanted: ReadonlyMap<TenantName, number>,
    capacity: number,
): ReadonlyMap<TenantName, number> => {
    const claims = [...wanted].map(([tenant, amount]) => ({
        tenant,
        weight: tables.tenants.get(tenant)?.weight ?? DEFAULT_WEIGHT,
        wanted: amount,
    }));
    const shares = weightedShares(claims, capacity);
    return new Map(
        claims.flatMap(({ tenant, wanted: amount }, index) => {
            const share = shares[index] ?? amount;
            return share < amount ? [[tenant, share] as const] : [];
        }),
    );
};

// CPU time of the step's waiting tasks.
const costOf = ({ step, tasks }: OpenStep, runMs: number): number =>
    tasks.filter(isWaiting).length * demandOf(step).cpu * runMs;

const usableCpu = (tables: PoolTables, nowMs: number): number =>
    sumOf(
        [...tables.executors.values()]
            .filter(executor => isUsable(tables, executor, nowMs))
            .map(({ record }) => record.capacity.cpu),
    );

const sumOf = (amounts: readonly number[]): number => amounts.reduce((sum, amount) => sum + amount, 0);
