import type { Assignment, DrainPurpose } from "@almondusher/fleet/assignment";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import { availableVms, isAvailable } from "./budget.js";
import { poolsWithLoss } from "./fleet-view.js";
import { completedRow, type DrainProgress, drainProgress } from "./complete-drains.js";
import type { Waiting } from "./decision.js";
import {
    addDecisions,
    changePlannerState,
    changeRows,
    isLoanValid,
    nextRevision,
    type Plan,
    targetPool,
} from "./plan.js";
import { keepSince } from "./planner-state.js";
import { type RequiredEntry, requiredProcesses } from "./required-processes.js";

/** The row as it is without its loan. */
export const withoutLoan = (row: Assignment): Assignment => {
    const owned = { ...row };
    delete owned.loanedTo;
    return owned;
};

/** Drops loans whose pools an operator has changed, so that the VM goes where the pools table names it. */
export const dropInvalidLoans = (plan: Plan): Plan => {
    const invalid = plan.assignments.rows.filter(row => row.loanedTo !== undefined && !isLoanValid(plan, row));
    return changeRows(plan, {
        written: invalid.map(withoutLoan),
        reasons: invalid.map(row => `end the loan of ${row.vm}`),
    });
};

const wantedPurpose = (plan: Plan, row: Assignment): DrainPurpose | undefined => {
    const target = targetPool(plan, row);
    if (target === undefined) {
        return { kind: "removal" };
    }
    return target === row.pool ? undefined : { kind: "move", pool: target };
};

const describePurpose = (purpose: DrainPurpose): string =>
    purpose.kind === "move" ? `move to ${purpose.pool}` : purpose.kind;

/** The row as its target demands, for rows that no longer serve: redirects or cancels what is under way. */
const redirectRow = (plan: Plan, row: Assignment): Assignment | undefined => {
    const purpose = wantedPurpose(plan, row);
    switch (row.phase.kind) {
        case "serving":
            return row;
        case "draining":
            if (purpose !== undefined) {
                return { ...row, phase: { ...row.phase, purpose } };
            }
            return row.phase.purpose.kind === "maintenance" ? row : { ...row, phase: { kind: "serving" } };
        case "maintenance":
            // Nobody sends to a VM in maintenance, so it changes its pool without a further drain. It is removed only
            // when it has gone: a reboot that is still on its way must not meet the VM in service again.
            if (purpose?.kind === "removal" && !plan.listed.has(row.vm)) {
                return undefined;
            }
            return purpose?.kind === "move" ? { ...row, pool: purpose.pool } : row;
    }
};

/** Adapts drains and maintenance under way to what the pools table says now. */
export const redirectDrains = (plan: Plan): Plan => {
    const underWay = plan.assignments.rows.filter(row => row.phase.kind !== "serving");
    const results = underWay.map(row => ({ row, next: redirectRow(plan, row) }));
    const changed = results.filter(({ row, next }) => JSON.stringify(row) !== JSON.stringify(next));
    return changeRows(plan, {
        written: changed.flatMap(({ next }) => (next === undefined ? [] : [next])),
        removed: changed.filter(({ next }) => next === undefined).map(({ row }) => row.vm),
        reasons: changed.map(({ row }) => `redirect ${row.vm}`),
    });
};

/** The row with a drain that the edit of this plan starts. */
export const drainingRow = (plan: Plan, row: Assignment, purpose: DrainPurpose): Assignment => ({
    ...row,
    phase: { kind: "draining", purpose, sinceRevision: nextRevision(plan) },
});

/** Starts a drain for every VM that the pools table or a loan places elsewhere, as far as `minAvailable` permits. */
export const startDrains = (plan: Plan): Plan => {
    const misplaced = plan.assignments.rows.filter(
        row => row.phase.kind === "serving" && wantedPurpose(plan, row) !== undefined,
    );
    const lossPools = misplaced.length === 0 ? [] : poolsWithLoss(plan);
    return misplaced.reduce(
        (next, row) =>
            lossPools.includes(row.pool) && isAvailable(plan, row)
                ? addDecisions(next, [{ kind: "waiting", subject: row.vm, on: "correlated-loss", names: [row.pool] }])
                : startDrain(next, row),
        plan,
    );
};

const startDrain = (plan: Plan, row: Assignment): Plan => {
    const purpose = wantedPurpose(plan, row);
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

const recentProcesses = (plan: Plan): readonly ProcessId[] => {
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
              earlier: plan.plannerState.confirmedDrains.find(drain => drain.vm === row.vm),
              round: plan.input.round,
              recentProcesses: recentProcesses(plan),
          })
        : { kind: "blocked", entries: [], requests: [] };

const waitingFor = (vm: VmId, progress: DrainProgress): readonly Waiting[] => {
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

const completeRow = (plan: Plan, row: Assignment): Plan => {
    const next = completedRow({ row, bootId: plan.listed.get(row.vm)?.bootId });
    if (next === row) {
        return addDecisions(plan, [{ kind: "waiting", subject: row.vm, on: "platform-list", names: [row.vm] }]);
    }
    return changeRows(plan, {
        written: next === undefined ? [] : [next],
        removed: next === undefined ? [row.vm] : [],
        reasons: [`drained ${row.vm}`],
    });
};

/** Keeps which entries this manager has seen on the list, and since when it knows the registered processes. */
const observeEntries = (plan: Plan): Plan => {
    const { vms, registrations, confirmations, nowMs } = plan.input;
    const listed = vms.filter(vm => vm.role === "entry").map(vm => vm.id);
    const known = [...registrations, ...confirmations.flatMap(confirmation => confirmation.passedTo)];
    const knownVms = new Set(known.map(entry => entry.vm));
    const seen = plan.plannerState.seenEntryVms.filter(vm => knownVms.has(vm));
    return changePlannerState(plan, {
        seenEntryVms: [...new Set([...seen, ...listed])],
        registeredSince: keepSince(
            plan.plannerState.registeredSince,
            registrations.map(entry => entry.processId),
            nowMs,
        ),
    });
};

/** Ends the drains that every required entry has confirmed, and names what the others wait for. */
export const completeDrains = (earlier: Plan): Plan => {
    const plan = observeEntries(earlier);
    const required = requiredProcesses({ ...plan.input, seenEntryVms: plan.plannerState.seenEntryVms });
    const progress = plan.assignments.rows
        .filter(row => row.phase.kind === "draining")
        .map(row => ({ row, progress: progressOf(plan, row, required) }));
    const confirmedDrains = progress.flatMap(item => ("drain" in item.progress ? [item.progress.drain] : []));
    const waiting = progress.flatMap(item => waitingFor(item.row.vm, item.progress));
    return progress
        .filter(item => item.progress.kind === "complete")
        .reduce(
            (next, item) => completeRow(next, item.row),
            addDecisions(changePlannerState(plan, { confirmedDrains }), waiting),
        );
};
