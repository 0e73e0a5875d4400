import type { Assignment } from "@almondusher/fleet/assignment";
import { isUp } from "./budget.js";
import type { Decision } from "./decision.js";
import { addDecisions, changePlannerState, changeRows, type Plan } from "./plan.js";
import { trackSince, elapsedSince, maintenanceId } from "./planner-state.js";

const maintenanceIds = (plan: Plan): readonly string[] =>
    plan.input.state.assignments.rows.flatMap(row =>
        row.phase.kind === "maintenance" ? [maintenanceId(row.vm, row.phase.bootId)] : [],
    );

// A list that was read before the maintenance started can contain the id of an earlier boot. Boot ids are not ordered,
// so that id would be taken for the id of a new boot.
const isListRecent = (plan: Plan, id: string): boolean => {
    const { listReadAtMs, settings } = plan.input;
    const since = plan.plannerState.maintenanceSince.find(entry => entry.id === id);
    return since !== undefined && listReadAtMs - since.sinceMs >= settings.listLagMs;
};

const hasReturned = (plan: Plan, row: Assignment): boolean => {
    const vm = plan.listedVms.get(row.vm);
    return (
        row.phase.kind === "maintenance" &&
        vm?.state === "live" &&
        vm.bootId !== row.phase.bootId &&
        isListRecent(plan, maintenanceId(row.vm, row.phase.bootId))
    );
};

/** Returns VMs in maintenance to service once the platform lists them as live with a new boot id. */
export const returnFromMaintenance = (earlier: Plan): Plan => {
    const { maintenanceSince } = earlier.plannerState;
    const plan = changePlannerState(earlier, {
        maintenanceSince: trackSince(maintenanceSince, maintenanceIds(earlier), earlier.input.nowMs),
    });
    const returned = plan.assignments.rows.filter(row => hasReturned(plan, row));
    return changeRows(plan, {
        written: returned.map(row => ({ ...row, phase: { kind: "serving" }, maintainedAtMs: plan.input.nowMs })),
        reasons: returned.map(row => `${row.vm} is back from maintenance`),
    });
};

const rebootDecisions = (plan: Plan, row: Assignment): readonly Decision[] => {
    const vm = plan.listedVms.get(row.vm);
    if (row.phase.kind !== "maintenance" || vm?.bootId !== row.phase.bootId) {
        return [];
    }
    const repeated = plan.plannerState.rebootedAt.some(reboot => reboot.id === row.vm);
    const age = elapsedSince(plan.plannerState.rebootedAt, row.vm, plan.input.nowMs);
    return repeated && age < plan.input.settings.rebootRepeatMs
        ? []
        : [{ kind: "reboot", vm: row.vm, bootId: row.phase.bootId }];
};

/**
 * Requests the reboot of VMs that are in maintenance both in the accepted fleet state and in the plan. The request is
 * repeated if the list still shows the old boot after `rebootRepeatMs`.
 */
export const rebootVms = (plan: Plan): Plan => {
    const inMaintenance = plan.input.state.assignments.rows.filter(
        row => row.phase.kind === "maintenance" && plan.assignments.get(row.vm)?.phase.kind === "maintenance",
    );
    const reboots = inMaintenance.flatMap(row => rebootDecisions(plan, row));
    const started = reboots.flatMap(reboot =>
        reboot.kind === "reboot" ? [{ id: reboot.vm, sinceMs: plan.input.nowMs }] : [],
    );
    const kept = plan.plannerState.rebootedAt.filter(
        reboot => inMaintenance.some(row => row.vm === reboot.id) && !started.some(({ id }) => id === reboot.id),
    );
    return addDecisions(changePlannerState(plan, { rebootedAt: [...kept, ...started] }), reboots);
};

/**
 * Records since when VMs have been down or have been draining or in maintenance, and the last known locations of the
 * VMs. Reports VMs in maintenance whose drain and reboot together have taken longer than `rebootTimeoutMs`.
 */
export const trackUnavailable = (plan: Plan): Plan => {
    const { nowMs, settings } = plan.input;
    const unavailable = plan.assignments.rows.filter(row => row.phase.kind !== "serving");
    const unavailableSince = trackSince(
        plan.plannerState.unavailableSince,
        unavailable.map(row => row.vm),
        nowMs,
    );
    const overdue = unavailable.filter(
        row =>
            row.phase.kind === "maintenance" &&
            elapsedSince(unavailableSince, row.vm, nowMs) > settings.rebootTimeoutMs,
    );
    const down = plan.assignments.rows.filter(row => row.phase.kind === "serving" && !isUp(plan, row));
    const downSince = trackSince(
        plan.plannerState.downSince,
        down.map(row => row.vm),
        nowMs,
    );
    const locations = plan.assignments.rows.flatMap(({ vm }) => plan.locations.get(vm) ?? []);
    return addDecisions(
        changePlannerState(plan, { unavailableSince, downSince, locations }),
        overdue.map(row => ({ kind: "waiting", subject: row.vm, on: "return", names: [row.vm] })),
    );
};
