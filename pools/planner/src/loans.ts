import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import { isAvailable, neededByLoad } from "./budget.js";
import type { Waiting } from "./decision.js";
import { drainingRow, withoutLoan } from "./drains.js";
import { type PoolStatus, poolStatuses, poolsWithLoss } from "./fleet-view.js";
import { isDue } from "./maintenance-due.js";
import { addDecisions, changePlannerState, changeRows, type Plan } from "./plan.js";
import { keepSince, lasted } from "./planner-state.js";

const isShort = (status: PoolStatus): boolean => status.available < status.required;

// Maintenance still to come needs one more VM than the pool must keep.
const reserveOf = (status: PoolStatus): number => (status.dueNow > 0 || status.inMaintenance > 0 ? 1 : 0);

const canReturnOne = (plan: Plan, status: PoolStatus): boolean => {
    const { pool } = status;
    const needed = Math.max(pool.minAvailable, neededByLoad(plan, pool, plan.input.settings.returnUtilisation));
    return status.borrowed > 0 && status.available + status.arriving - 1 - reserveOf(status) >= needed;
};

/** Keeps since when pools have been short of VMs, or could return a loan. */
export const watchShortages = (plan: Plan): Plan => {
    const { nowMs } = plan.input;
    const statuses = poolStatuses(plan).rows;
    const namesOf = (selected: readonly PoolStatus[]): readonly PoolName[] => selected.map(({ pool }) => pool.name);
    const short = statuses.filter(isShort);
    const surplus = statuses.filter(status => canReturnOne(plan, status));
    return changePlannerState(plan, {
        shortSince: keepSince(plan.plannerState.shortSince, namesOf(short), nowMs),
        surplusSince: keepSince(plan.plannerState.surplusSince, namesOf(surplus), nowMs),
    });
};

const loansOf = (plan: Plan, pool: PoolName): readonly Assignment[] =>
    plan.assignments.rows.filter(row => row.loanedTo === pool);

// Loans that have not arrived go back first, since that costs the borrower nothing.
const chooseReturn = (plan: Plan, pool: PoolName): readonly Assignment[] => {
    const loans = loansOf(plan, pool);
    return [...loans.filter(row => row.pool !== pool), ...loans.filter(row => row.pool === pool)].slice(0, 1);
};

/** Spare pools that have lent more than their own budget allows now. */
const recallingPools = (plan: Plan, statuses: readonly PoolStatus[]): readonly PoolName[] =>
    statuses.filter(status => status.pool.spare && isShort(status)).map(({ pool }) => pool.name);

const chooseRecalls = (plan: Plan, statuses: readonly PoolStatus[]): readonly Assignment[] =>
    recallingPools(plan, statuses).flatMap(lender =>
        plan.assignments.rows
            .filter(row => row.loanedTo === row.pool && plan.wantedPools.get(row.vm)?.pool.name === lender)
            .filter(row => {
                const borrower = statuses.find(({ pool }) => pool.name === row.pool);
                return borrower !== undefined && borrower.available > borrower.pool.minAvailable;
            })
            .slice(0, 1),
    );

/** Ends loans that a pool could do without for some time, one for each pool at a time, and those a lender needs. */
export const returnLoans = (plan: Plan): Plan => {
    const { nowMs, settings } = plan.input;
    const { surplusSince } = plan.plannerState;
    const statuses = poolStatuses(plan).rows;
    const idle = surplusSince
        .filter(({ id }) => lasted(surplusSince, id, nowMs) >= settings.returnAfterMs)
        .flatMap(({ id }) => chooseReturn(plan, id));
    const returned = [...new Set([...idle, ...chooseRecalls(plan, statuses)])];
    const borrowers = new Set(returned.map(row => row.loanedTo));
    const next = changeRows(plan, {
        written: returned.map(withoutLoan),
        reasons: returned.map(row => `end the loan of ${row.vm} to ${row.loanedTo}`),
    });
    // The next loan of the same pool is returned only after the full time again.
    return changePlannerState(next, { surplusSince: surplusSince.filter(({ id }) => !borrowers.has(id)) });
};

interface Need {
    readonly status: PoolStatus;
    readonly vms: number;
}

const needOf = (plan: Plan, status: PoolStatus): Need => {
    const { pool, available, arriving, borrowed, required } = status;
    const { shortSince } = plan.plannerState;
    const isLasting = lasted(shortSince, pool.name, plan.input.nowMs) > plan.input.settings.moveDurationMs;
    const missing = isLasting ? required - available - arriving : 0;
    // A stand-in is for a budget that leaves no VM for maintenance; where only the load forbids it, maintenance waits.
    const isBlocked = status.dueNow > 0 && status.inMaintenance === 0 && available + arriving <= pool.minAvailable;
    const standIns = isBlocked ? 1 : 0;
    return { status, vms: Math.min(Math.max(missing, standIns), pool.maxBorrowed - borrowed) };
};

const lendableVms = (plan: Plan, statuses: readonly PoolStatus[]): readonly Assignment[] => {
    const lossPools = poolsWithLoss(plan);
    return statuses
        .filter(({ pool }) => pool.spare && !lossPools.includes(pool.name))
        .flatMap(status => {
            const own = plan.assignments.rows.filter(
                row =>
                    row.pool === status.pool.name &&
                    isAvailable(plan, row) &&
                    row.loanedTo === undefined &&
                    plan.wantedPools.get(row.vm)?.pool.name === status.pool.name &&
                    !isDue(plan, row),
            );
            // The VM maintained last stays usable for longest.
            return [...own]
                .sort((left, right) => (right.maintainedAtMs ?? 0) - (left.maintainedAtMs ?? 0))
                .slice(0, Math.max(0, status.available - status.required));
        });
};

interface Loan {
    readonly row: Assignment;
    readonly borrower: PoolName;
}

const shareOut = (needs: readonly Need[], lendable: readonly Assignment[]): readonly Loan[] => {
    const wanted = needs.flatMap(need => Array.from({ length: Math.max(0, need.vms) }, () => need.status.pool.name));
    return lendable.slice(0, wanted.length).map((row, index) => ({ row, borrower: wanted[index] as PoolName }));
};

const urgencyOf = ({ status }: Need): number => (status.required - status.available) / Math.max(1, status.required);

/** Lends VMs of spare pools to pools whose shortage has lasted, and to pools whose maintenance cannot start. */
export const startLoans = (plan: Plan): Plan => {
    const statuses = poolStatuses(plan).rows;
    const needs = statuses
        .filter(({ pool }) => !pool.spare && pool.maxBorrowed > 0)
        .map(status => needOf(plan, status))
        .filter(need => need.vms > 0)
        .sort((left, right) => urgencyOf(right) - urgencyOf(left));
    if (needs.length === 0) {
        return plan;
    }
    const loans = shareOut(needs, lendableVms(plan, statuses));
    const served = new Set(loans.map(loan => loan.borrower));
    const unmet = needs.filter(({ status }) => !served.has(status.pool.name));
    const waiting = unmet.map(({ status }): Waiting => ({
        kind: "waiting",
        subject: status.pool.name,
        on: "spare-vms",
        names: spareNames(plan),
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

const spareNames = (plan: Plan): readonly PoolName[] =>
    plan.input.state.pools.rows.filter(pool => pool.spare).map(pool => pool.name);
