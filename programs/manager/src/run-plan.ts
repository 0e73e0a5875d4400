import { randomUUID } from "node:crypto";
import type { Change, Edit } from "@almondusher/fleet/edit";
import { type FleetError, hasCode } from "@almondusher/fleet/fleet-error";
import { type EditId, toId } from "@almondusher/fleet/ids";
import type { Decision } from "@almondusher/planner/decision";
import { planFleet } from "@almondusher/planner/plan-fleet";
import { commitEdit } from "@almondusher/platform/commit-edit";
import type { HeldLease } from "@almondusher/platform/manager-lease";
import { rebootVm } from "@almondusher/platform/vm-list";
import { count } from "@almondusher/telemetry/counters";
import { logEvent } from "@almondusher/telemetry/logger";
import { stepDown } from "./renew-or-take-lease.js";
import { type ManagerContext, monotonicUnixMs } from "./manager-context.js";

const COMMIT_ATTEMPTS = 3;

/** Plans from the in-memory state and executes the decisions; edits are committed under the epoch of the lease. */
export const runPlan = async (manager: ManagerContext, lease: HeldLease): Promise<void> => {
    const { tables, settings } = manager;
    const { waveRequestedAtMs, ...planner } = settings.planner;
    const plan = planFleet({
        state: tables.state,
        vms: tables.vms,
        listReadAtMs: tables.listReadAtMs,
        registrations: tables.registrations.map(({ processId, vmId }) => ({ processId, vm: vmId })),
        confirmations: [...tables.confirmations.values()],
        loads: tables.demand.loads,
        unresponsiveVms: tables.unresponsiveVms,
        plannerState: tables.plannerState,
        round: tables.round,
        nowMs: monotonicUnixMs(),
        settings: { ...planner, ...(waveRequestedAtMs === undefined ? {} : { waveRequestedAtMs }) },
    });
    tables.plannerState = plan.plannerState;
    logNewWaits(manager, plan.decisions);
    tables.lastDecisions = plan.decisions;
    await Promise.all(plan.decisions.map(decision => executeDecision(manager, lease, decision)));
};

const executeDecision = async (manager: ManagerContext, lease: HeldLease, decision: Decision): Promise<void> => {
    switch (decision.kind) {
        case "edit":
            return commitChanges(manager, lease, decision);
        case "reboot":
            return reboot(manager, decision);
        case "waiting":
            return undefined;
    }
};

const commitChanges = async (
    manager: ManagerContext,
    lease: HeldLease,
    { changes, reason }: Extract<Decision, { kind: "edit" }>,
): Promise<void> => {
    const edit: Edit = {
        editId: toId<EditId>(randomUUID()),
        author: { kind: "manager", name: manager.processId },
        at: new Date().toISOString(),
        reason,
        changes: [...changes],
    };
    try {
        const committed = await commitEdit(manager.platform, {
            edit,
            leaseEpoch: lease.epoch,
            maxAttempts: COMMIT_ATTEMPTS,
        });
        manager.tables.state = committed.state;
        manager.tables.lastRefusal = undefined;
        count(manager.counters, { name: "edits" });
        changes.forEach(change => logChange(manager, change));
    } catch (error) {
        handleCommitError(manager, lease, error);
    }
};

// If another edit was accepted first, the next tick plans again from the new state.
const handleCommitError = (manager: ManagerContext, lease: HeldLease, error: unknown): void => {
    if (hasCode(error, "lease-lost")) {
        stepDown(manager, lease, error);
    } else if (hasCode(error, "edit-conflict") || hasCode(error, "invalid-edit")) {
        count(manager.counters, { name: "refused-plans" });
        logRefusal(manager, error);
    } else {
        throw error;
    }
};

// Logs a refusal only if it differs from the last one. A single refusal is usually caused by a concurrent
// edit; one that recurs is a fault that blocks all planning and stays visible as `lastRefusal` in the state dump.
const logRefusal = (manager: ManagerContext, error: FleetError): void => {
    const reason = [error.message, ...error.details].join("; ");
    if (manager.tables.lastRefusal === reason) {
        return;
    }
    manager.tables.lastRefusal = reason;
    logEvent(manager.logger, { kind: "plan-refused", code: error.code, reason });
};

const logChange = (manager: ManagerContext, change: Change): void => {
    if (change.table !== "assignments") {
        return;
    }
    const before = change.before?.phase.kind;
    const after = change.after;
    if (after?.phase.kind === "draining" && before !== "draining") {
        logEvent(manager.logger, {
            kind: "drain-started",
            drainedVm: after.vm,
            pool: after.pool,
            purpose: after.phase.purpose.kind,
        });
    }
    if (after?.phase.kind === "maintenance") {
        logEvent(manager.logger, { kind: "maintenance-started", maintainedVm: after.vm, pool: after.pool });
    }
    if (before === "maintenance" && after !== undefined) {
        logEvent(manager.logger, { kind: "maintenance-completed", maintainedVm: after.vm, pool: after.pool });
    }
};

const reboot = async (
    manager: ManagerContext,
    { vm, bootId }: Extract<Decision, { kind: "reboot" }>,
): Promise<void> => {
    try {
        await rebootVm(manager.platform, { vmId: vm, bootId });
        count(manager.counters, { name: "reboots", vm });
    } catch {
        // The planner requests the reboot again if the VM list does not show a new boot.
        count(manager.counters, { name: "failed-reboots", vm });
    }
};

const waitingKey = (decision: Decision): string | undefined =>
    decision.kind === "waiting" ? `${decision.subject} ${decision.on} ${decision.names.join()}` : undefined;

const logNewWaits = (manager: ManagerContext, decisions: readonly Decision[]): void => {
    const loggedKeys = new Set(manager.tables.lastDecisions.map(waitingKey));
    decisions.forEach(decision => {
        if (decision.kind === "waiting" && !loggedKeys.has(waitingKey(decision))) {
            logEvent(manager.logger, {
                kind: "planner-waiting",
                subject: decision.subject,
                on: decision.on,
                names: decision.names,
            });
        }
    });
};
