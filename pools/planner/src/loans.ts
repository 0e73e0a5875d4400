import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import { isAvailable, vmsNeededForLoad } from "./budget.js";
import type { WaitingDecision } from "./decision.js";
import { drainingRow, withoutLoan } from "./drains.js";
import { type PoolStatus, poolStatuses, poolsWithCorrelatedLoss } from "./pool-status.js";
import { isDue } from "./maintenance-due.js";
import { addDecisions, changePlannerState, changeRows, type Plan } from "./plan.js";
import { trackSince, elapsedSince } from "./planner-state.js";

const hasShortage = (status: PoolStatus): boolean => status.available < status.required;

// Pending or ongoing maintenance needs one VM on top of those that the pool must keep.
const maintenanceReserve = (status: PoolStatus): number => (status.dueInWave > 0 || status.inMaintenance > 0 ? 1 : 0);

const canReturnOne = (plan: Plan, status: PoolStatus): boolean => {
    const { pool } = status;
    const needed = Math.max(pool.minAvailable, vmsNeededForLoad(plan, pool, plan.input.settings.returnUtilisation));
    return status.borrowed > 0 && status.available + status.arriving - 1 - maintenanceReserve(status) >= needed;
};

/** Records since when each pool has had a shortage of VMs or could return a loan. */
export const trackShortages = (plan: Plan): Plan => {
    const { nowMs } = plan.input;
    const statuses = poolStatuses(plan).rows;
    const namesOf = (selected: readonly PoolStatus[]): readonly PoolName[] => selected.map(({ pool }) => pool.name);
    const withShortage = statuses.filter(hasShortage);
    const withSurplus = statuses.filter(status => canReturnOne(plan, status));
    return changePlannerState(plan, {
        shortSince: trackSince(plan.plannerState.shortSince, namesOf(withShortage), nowMs),
        surplusSince: trackSince(plan.plannerState.surplusSince, namesOf(withSurplus), nowMs),
    });
};

const loansToPool = (plan: Plan, pool: PoolName): readonly Assignment[] =>
    plan.assignments.rows.filter(row => row.loanedTo === pool);

// A loan that has not arrived yet is returned first, because the borrower loses no capacity.
const selectLoanToReturn = (plan: Plan, pool: PoolName): readonly Assignment[] => {
    const loans = loansToPool(plan, pool);
    return [...loans.filter(row => row.pool !== pool), ...loans.filter(row => row.pool === pool)].slice(0, 1);
};

/** Spare pools that have fewer VMs available than they require themselves. */
const lendersWithShortage = (plan: Plan, statuses: readonly PoolStatus[]): readonly PoolName[] =>
    statuses.filter(status => status.pool.spare && hasShortage(status)).map(({ pool }) => pool.name);

const selectLoansToRecall = (plan: Plan, statuses: readonly PoolStatus[]): readonly Assignment[] =>
    lendersWithShortage(plan, statuses).flatMap(lender =>
        plan.assignments.rows
            .filter(row => row.loanedTo === row.pool && plan.configuredPools.get(row.vm)?.pool.name === lender)
            .filter(row => {
                const borrower = statuses.find(({ pool }) => pool.name === row.pool);
                return borrower !== undefined && borrower.available > borrower.pool.minAvailable;
            })
            .slice(0, 1),
    );

/**
 * Ends loans that have not been needed for `returnAfterMs`, one per borrower at a time, and recalls loans whose lender
 * has a shortage.
 */
export const returnLoans = (plan: Plan): Plan => {
    const { nowMs, settings } = plan.input;
    const { surplusSince } = plan.plannerState;
    const statuses = poolStatuses(plan).rows;
    const surplusLoans = surplusSince
        .filter(({ id }) => elapsedSince(surplusSince, id, nowMs) >= settings.returnAfterMs)
        .flatMap(({ id }) => selectLoanToReturn(plan, id));
    const returned = [...new Set([...surplusLoans, ...selectLoansToRecall(plan, statuses)])];
    const borrowers = new Set(returned.map(row => row.loanedTo));
    const next = changeRows(plan, {
        written: returned.map(withoutLoan),
        reasons: returned.map(row => `end the loan of ${row.vm} to ${row.loanedTo}`),
    });
    // Restarts the timer, so that each further loan of the borrower is kept for the full `returnAfterMs`.
    return changePlannerState(next, { surplusSince: surplusSince.filter(({ id }) => !borrowers.has(id)) });
};

interface LoanDemand {
    readonly status: PoolStatus;
    /** Number of VMs to borrow. */
    readonly vms: number;
}

const loanDemandOf = (plan: Plan, status: PoolStatus): LoanDemand => {
    const { pool, available, arriving, borrowed, required } = status;
    const { shortSince } = plan.plannerState;
    const hasPersisted = elapsedSince(shortSince, pool.name, plan.input.nowMs) > plan.input.settings.moveDurationMs;
    const missing = hasPersisted ? required - available - arriving : 0;
    // A replacement VM is borrowed only if `minAvailable` blocks maintenance. If only the load blocks it, maintenance
    // waits for the load to fall.
    const isMaintenanceBlocked =
        status.dueInWave > 0 && status.inMaintenance === 0 && available + arriving <= pool.minAvailable;
    const replacements = isMaintenanceBlocked ? 1 : 0;
    return { status, vms: Math.min(Math.max(missing, replacements), pool.maxBorrowed - borrowed) };
};

const lendableVms = (plan: Plan, statuses: readonly PoolStatus[]): readonly Assignment[] => {
    const poolsWithLoss = poolsWithCorrelatedLoss(plan);
    return statuses
        .filter(({ pool }) => pool.spare && !poolsWithLoss.includes(pool.name))
        .flatMap(status => {
            const own = plan.assignments.rows.filter(
                row =>
                    row.pool === status.pool.name &&
                    isAvailable(plan, row) &&
                    row.loanedTo === undefined &&
                    plan.configuredPools.get(row.vm)?.pool.name === status.pool.name &&
                    !isDue(plan, row),
            );
            // The most recently maintained VM has the longest time until its next maintenance.
            return [...own]
                .sort((left, right) => (right.maintainedAtMs ?? 0) - (left.maintainedAtMs ?? 0))
                .slice(0, Math.max(0, status.available - status.required));
        });
};

interface Loan {
    readonly row: Assignment;
    readonly borrower: PoolName;
}

const allocateLoans = (needs: readonly LoanDemand[], lendable: readonly Assignment[]): readonly Loan[] => {
    const wanted = needs.flatMap(need => Array.from({ length: Math.max(0, need.vms) }, () => need.status.pool.name));
    return lendable.slice(0, wanted.length).map((row, index) => ({ row, borrower: wanted[index] as PoolName }));
};

const shortageRatio = ({ status }: LoanDemand): number =>
    (status.required - status.available) / Math.max(1, status.required);

/**
 * Lends VMs of spare pools to pools whose shortage has lasted for longer than `moveDurationMs`, and to pools in which
 * `minAvailable` blocks maintenance.
 */
export const startLoans = (plan: Plan): Plan => {
    const statuses = poolStatuses(plan).rows;
    const needs = statuses
        .filter(({ pool }) => !pool.spare && pool.maxBorrowed > 0)
        .map(status => loanDemandOf(plan, status))
        .filter(need => need.vms > 0)
        .sort((left, right) => shortageRatio(right) - shortageRatio(left));
    if (needs.length === 0) {
        return plan;
    }
    const loans = allocateLoans(needs, lendableVms(plan, statuses));
    const served = new Set(loans.map(loan => loan.borrower));
    const unmet = needs.filter(({ status }) => !served.has(status.pool.name));
    const waiting = unmet.map(({ status }): WaitingDecision => ({
        kind: "waiting",
        subject: status.pool.name,
        on: "spare-vms",
        names: sparePoolNames(plan),
    }));
    return addDecisions(
        changeRows(plan, {
            written: loans.map(({ row, borrower }) => ({
                ...drainingRow(plan, row, { kind: "move", pool: borrower }),
                loanedTo: borrower,
            })),
            reasons: loans.map(({ row, borrower }) => `lend ${row.vm} to ${borrower}`),
        }),
        waiting,
    );
};

const sparePoolNames = (plan: Plan): readonly PoolName[] =>
    plan.input.state.pools.rows.filter(pool => pool.spare).map(pool => pool.name);
