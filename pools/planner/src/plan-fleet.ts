import { assignVms } from "./assign-vms.js";
import type { Decision } from "./decision.js";
import { completeDrains, dropInvalidLoans, redirectDrains, startDrains } from "./drains.js";
import { returnLoans, startLoans, watchShortages } from "./loans.js";
import { rebootVms, returnFromMaintenance, watchUnavailable } from "./maintenance.js";
import { type Plan, planChanges, startPlan } from "./plan.js";
import type { PlanInput } from "./plan-input.js";
import type { PlannerState } from "./planner-state.js";
import { cancelMaintenance, startWave } from "./waves.js";

export interface FleetPlan {
    /** At most one edit, then reboots and what waits for what. */
    readonly decisions: readonly Decision[];
    readonly plannerState: PlannerState;
}

const MAX_REASON_CHARACTERS = 480;

const systems: readonly ((plan: Plan) => Plan)[] = [
    returnFromMaintenance,
    dropInvalidLoans,
    redirectDrains,
    completeDrains,
    assignVms,
    watchUnavailable,
    cancelMaintenance,
    watchShortages,
    returnLoans,
    startDrains,
    startLoans,
    startWave,
    rebootVms,
];

const joinReasons = (reasons: readonly string[]): string => {
    const text = reasons.join("; ");
    return text.length <= MAX_REASON_CHARACTERS ? text : `${text.slice(0, MAX_REASON_CHARACTERS)} ...`;
};

/**
 * Decides on moves, maintenance and loans. The edit is valid on exactly the given revision: drains carry the revision
 * that the edit produces, so it must be planned again if another edit was accepted first.
 */
export const planFleet = (input: PlanInput): FleetPlan => {
    const plan = systems.reduce((next, system) => system(next), startPlan(input));
    const changes = planChanges(plan);
    const edits: readonly Decision[] =
        changes.length === 0 ? [] : [{ kind: "edit", changes, reason: joinReasons(plan.reasons) }];
    return { decisions: [...edits, ...plan.decisions], plannerState: plan.plannerState };
};
