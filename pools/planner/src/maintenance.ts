import type { Assignment } from "@almondusher/fleet/assignment";
import { isUp } from "./budget.js";
import type { Decision } from "./decision.js";
import { addDecisions, changePlannerState, changeRows, type Plan } from "./plan.js";
import { keepSince, lasted, maintenanceId } from "./planner-state.js";

const maintenanceIds = (plan: Plan): readonly string[] =>
    plan.input.state.assignments.rows.flatMap(row =>
        row.phase.kind === "maintenance" ? [maintenanceId(row.vm, row.phase.bootId)] : [],
    );

// A list that may be older than the maintenance could show an earlier boot, and boots have no order.
const isListRecent = (plan: Plan, id: string): boolean => {
    const { listReadAtMs, settings } = plan.input;
    const since = plan.plannerState.maintenanceSince.find(entry => entry.id === id);
    return since !== undefined && listReadAtMs - since.sinceMs >= settings.listLagMs;
};

const isBack = (plan: Plan, row: Assignment): boolean => {
    const vm = plan.listed.get(row.vm);
    return (
        row.phase.kind === "maintenance" &&
        vm?.state === "live" &&
        vm.bootId !== row.phase.bootId &&
        isListRecent(plan, maintenanceId(row.vm, row.phase.bootId))
    );
};

/** Returns VMs to service that the platform lists as live with another boot than before. */
export const returnFromMaintenance = (earlier: Plan): Plan => {
    const { maintenanceSince } = earlier.plannerState;
    const plan = changePlannerState(earlier, {
        maintenanceSince: keepSince(maintenanceSince, maintenanceIds(earlier), earlier.input.nowMs),
    });
    const back = plan.assignments.rows.filter(row => isBack(plan, row));
    return changeRows(plan, {
        written: back.map(row => ({ ...row, phase: { kind: "serving" }, maintainedAtMs: plan.input.nowMs })),
        reasons: back.map(row => `${row.vm} is back from maintenance`),
    });
};

const rebootOf = (plan: Plan, row: Assignment): readonly Decision[] => {
    const vm = plan.listed.get(row.vm);
    if (row.phase.kind !== "maintenance" || vm?.bootId !== row.phase.bootId) {
        return [];
    }
    const repeated = plan.plannerState.rebootedAt.some(reboot => reboot.id === row.vm);
    const age = lasted(plan.plannerState.rebootedAt, row.vm, plan.input.nowMs);
    return repeated && age < plan.input.settings.rebootRepeatMs
        ? []
        : [{ kind: "reboot", vm: row.vm, bootId: row.phase.bootId }];
};

/** Reboots VMs whose maintenance is in force in the fleet state, and repeats a reboot that shows no effect. */
export const rebootVms = (plan: Plan): Plan => {
    const inMaintenance = plan.input.state.assignments.rows.filter(
        row => row.phase.kind === "maintenance" && plan.assignments.get(row.vm)?.phase.kind === "maintenance",
    );
    const reboots = inMaintenance.flatMap(row => rebootOf(plan, row));
    const now = reboots.flatMap(reboot =>
        reboot.kind === "reboot" ? [{ id: reboot.vm, sinceMs: plan.input.nowMs }] : [],
    );
    const kept = plan.plannerState.rebootedAt.filter(
        reboot => inMaintenance.some(row => row.vm === reboot.id) && !now.some(({ id }) => id === reboot.id),
    );
    return addDecisions(changePlannerState(plan, { rebootedAt: [...kept, ...now] }), reboots);
};

/** Keeps since when VMs have been down, draining or in maintenance, and names those that do not come back. */
export const watchUnavailable = (plan: Plan): Plan => {
    const { nowMs, settings } = plan.input;
    const absent = plan.assignments.rows.filter(row => row.phase.kind !== "serving");
    const unavailableSince = keepSince(
        plan.plannerState.unavailableSince,
        absent.map(row => row.vm),
        nowMs,
    );
    const late = absent.filter(
        row => row.phase.kind === "maintenance" && lasted(unavailableSince, row.vm, nowMs) > settings.rebootTimeoutMs,
    );
    const down = plan.assignments.rows.filter(row => row.phase.kind === "serving" && !isUp(plan, row));
    const downSince = keepSince(
        plan.plannerState.downSince,
        down.map(row => row.vm),
        nowMs,
    );
    const locations = plan.assignments.rows.flatMap(({ vm }) => plan.locations.get(vm) ?? []);
    return addDecisions(
        changePlannerState(plan, { unavailableSince, downSince, locations }),
        late.map(row => ({ kind: "waiting", subject: row.vm, on: "return", names: [row.vm] })),
    );
};
