import type { Assignment, DrainPurpose } from "@almondusher/fleet/assignment";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import { availableVms, isAvailable } from "./budget.js";
import { poolsWithCorrelatedLoss } from "./pool-status.js";
import { rowAfterDrain, type DrainProgress, drainProgress } from "./complete-drains.js";
import type { WaitingDecision } from "./decision.js";
import {
    addDecisions,
    changePlannerState,
    changeRows,
    isLoanValid,
    nextRevision,
    type Plan,
    targetPool,
} from "./plan.js";
import { trackSince } from "./planner-state.js";
import { type RequiredEntry, requiredProcesses } from "./required-processes.js";

/** Returns a copy of the assignment without its loan. */
export const withoutLoan = (row: Assignment): Assignment => {
    const unlentRow = { ...row };
    delete unlentRow.loanedTo;
    return unlentRow;
};

/** Ends loans that an operator's edit of the pools table has invalidated; the VM returns to the pool that lists it. */
export const dropInvalidLoans = (plan: Plan): Plan => {
    const invalid = plan.assignments.rows.filter(row => row.loanedTo !== undefined && !isLoanValid(plan, row));
    return changeRows(plan, {
        written: invalid.map(withoutLoan),
        reasons: invalid.map(row => `end the loan of ${row.vm}`),
    });
};

const requiredPurpose = (plan: Plan, row: Assignment): DrainPurpose | undefined => {
    const target = targetPool(plan, row);
    if (target === undefined) {
        return { kind: "removal" };
    }
    return target === row.pool ? undefined : { kind: "move", pool: target };
};

const describePurpose = (purpose: DrainPurpose): string =>
    purpose.kind === "move" ? `move to ${purpose.pool}` : purpose.kind;

/**
 * Updates a row whose drain or maintenance is in progress to the current target pool. A drain that is no longer needed
 * is cancelled. Returns undefined if the assignment is to be removed.
 */
const retargetRow = (plan: Plan, row: Assignment): Assignment | undefined => {
    const purpose = requiredPurpose(plan, row);
    switch (row.phase.kind) {
        case "serving":
            return row;
        case "draining":
            if (purpose !== undefined) {
                return { ...row, phase: { ...row.phase, purpose } };
            }
            return row.phase.purpose.kind === "maintenance" ? row : { ...row, phase: { kind: "serving" } };
        case "maintenance":
            // A VM in maintenance receives no requests, so it can change its pool without another drain. It is removed
            // only after it has left the platform's list: otherwise a delayed reboot request could restart the VM after
            // it was assigned and put into service again.
            if (purpose?.kind === "removal" && !plan.listedVms.has(row.vm)) {
                return undefined;
            }
            return purpose?.kind === "move" ? { ...row, pool: purpose.pool } : row;
    }
};

/** Updates drains and maintenance in progress after changes of the pools table. */
export const retargetDrains = (plan: Plan): Plan => {
    const underWay = plan.assignments.rows.filter(row => row.phase.kind !== "serving");
    const results = underWay.map(row => ({ row, next: retargetRow(plan, row) }));
    const changed = results.filter(({ row, next }) => JSON.stringify(row) !== JSON.stringify(next));
    return changeRows(plan, {
        written: changed.flatMap(({ next }) => (next === undefined ? [] : [next])),
        removed: changed.filter(({ next }) => next === undefined).map(({ row }) => row.vm),
        reasons: changed.map(({ row }) => `redirect ${row.vm}`),
    });
};

/** Returns the assignment with a drain that starts at the revision of this plan's edit. */
export const drainingRow = (plan: Plan, row: Assignment, purpose: DrainPurpose): Assignment => ({
    ...row,
    phase: { kind: "draining", purpose, sinceRevision: nextRevision(plan) },
});

/** Starts draining VMs whose target pool differs from their current one, as far as `minAvailable` permits. */
export const startDrains = (plan: Plan): Plan => {
    const misplaced = plan.assignments.rows.filter(
        row => row.phase.kind === "serving" && requiredPurpose(plan, row) !== undefined,
    );
    const poolsWithLoss = misplaced.length === 0 ? [] : poolsWithCorrelatedLoss(plan);
    return misplaced.reduce(
        (next, row) =>
            poolsWithLoss.includes(row.pool) && isAvailable(plan, row)
                ? addDecisions(next, [{ kind: "waiting", subject: row.vm, on: "correlated-loss", names: [row.pool] }])
                : startDrain(next, row),
        plan,
    );
};

const startDrain = (plan: Plan, row: Assignment): Plan => {
    const purpose = requiredPurpose(plan, row);
    const pool = plan.input.state.pools.get(row.pool);
    if (purpose === undefined) {
        return plan;
    }
    if (pool !== undefined && isAvailable(plan, row) && availableVms(plan, pool.name) <= pool.minAvailable) {
        return addDecisions(plan, [{ kind: "waiting", subject: row.vm, on: "budget", names: [pool.name] }]);
    }
    return changeRows(plan, {
        written: [drainingRow(plan, row, purpose)],
        reasons: [`drain ${row.vm} from ${row.pool}: ${describePurpose(purpose)}`],
    });
};

const recentlyRegistered = (plan: Plan): readonly ProcessId[] => {
    const { listReadAtMs, settings } = plan.input;
    return plan.plannerState.registeredSince
        .filter(process => listReadAtMs - process.sinceMs < settings.listLagMs)
        .map(process => process.id);
};

const progressOf = (plan: Plan, row: Assignment, required: readonly RequiredEntry[]): DrainProgress =>
    row.phase.kind === "draining"
        ? drainProgress({
              vm: row.vm,
              sinceRevision: row.phase.sinceRevision,
              required,
              confirmations: plan.input.confirmations,
              previous: plan.plannerState.confirmedDrains.find(drain => drain.vm === row.vm),
              round: plan.input.round,
              recentlyRegistered: recentlyRegistered(plan),
          })
        : { kind: "blocked", entries: [], requests: [] };

const waitingDecisions = (vm: VmId, progress: DrainProgress): readonly WaitingDecision[] => {
    switch (progress.kind) {
        case "complete":
            return [];
        case "confirmed":
            return [{ kind: "waiting", subject: vm, on: "entries", names: progress.drain.processes }];
        case "list-lags":
            return [{ kind: "waiting", subject: vm, on: "platform-list", names: progress.processes }];
        case "blocked":
            return [
                { kind: "waiting" as const, subject: vm, on: "entries" as const, names: progress.entries },
                { kind: "waiting" as const, subject: vm, on: "requests" as const, names: progress.requests },
            ].filter(({ on, names }) => names.length > 0 || (on === "entries" && progress.requests.length === 0));
    }
};

const completeDrain = (plan: Plan, row: Assignment): Plan => {
    const next = rowAfterDrain({ row, bootId: plan.listedVms.get(row.vm)?.bootId });
    if (next === row) {
        return addDecisions(plan, [{ kind: "waiting", subject: row.vm, on: "platform-list", names: [row.vm] }]);
    }
    return changeRows(plan, {
        written: next === undefined ? [] : [next],
        removed: next === undefined ? [row.vm] : [],
        reasons: [`drained ${row.vm}`],
    });
};

/** Records which entry VMs the platform has listed, and when each registered entry process was first seen. */
const trackEntries = (plan: Plan): Plan => {
    const { vms, registrations, confirmations, nowMs } = plan.input;
    const listed = vms.filter(vm => vm.role === "entry").map(vm => vm.id);
    const known = [...registrations, ...confirmations.flatMap(confirmation => confirmation.passedTo)];
    const knownVms = new Set(known.map(entry => entry.vm));
    const seen = plan.plannerState.seenEntryVms.filter(vm => knownVms.has(vm));
    return changePlannerState(plan, {
        seenEntryVms: [...new Set([...seen, ...listed])],
        registeredSince: trackSince(
            plan.plannerState.registeredSince,
            registrations.map(entry => entry.processId),
            nowMs,
        ),
    });
};

/** Completes drains that every required entry process has confirmed, and reports what the other drains wait for. */
export const completeDrains = (earlier: Plan): Plan => {
    const plan = trackEntries(earlier);
    const required = requiredProcesses({ ...plan.input, seenEntryVms: plan.plannerState.seenEntryVms });
    const progress = plan.assignments.rows
        .filter(row => row.phase.kind === "draining")
        .map(row => ({ row, progress: progressOf(plan, row, required) }));
    const confirmedDrains = progress.flatMap(item => ("drain" in item.progress ? [item.progress.drain] : []));
    const waiting = progress.flatMap(item => waitingDecisions(item.row.vm, item.progress));
    return progress
        .filter(item => item.progress.kind === "complete")
        .reduce(
            (next, item) => completeDrain(next, item.row),
            addDecisions(changePlannerState(plan, { confirmedDrains }), waiting),
        );
};
