import { assignVms } from "./assign-vms.js";
import type { Decision } from "./decision.js";
import { completeDrains, dropInvalidLoans, retargetDrains, startDrains } from "./drains.js";
import { returnLoans, startLoans, trackShortages } from "./loans.js";
import { rebootVms, returnFromMaintenance, trackUnavailable } from "./maintenance.js";
import { type Plan, planChanges, createPlan } from "./plan.js";
import type { PlanInput } from "./plan-input.js";
import type { PlannerState } from "./planner-state.js";
import { cancelMaintenance, startWave } from "./waves.js";

export interface FleetPlan {
    /** At most one edit, followed by reboots and waiting conditions. */
    readonly decisions: readonly Decision[];
    readonly plannerState: PlannerState;
}

const MAX_REASON_CHARACTERS = 480;

const planningSteps: readonly ((plan: Plan) => Plan)[] = [
    returnFromMaintenance,
    dropInvalidLoans,
    retargetDrains,
    completeDrains,
    assignVms,
    trackUnavailable,
    cancelMaintenance,
    trackShortages,
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
 * Plans moves, maintenance and loans. The edit is valid only for the revision of the input: drains store the revision
 * that the edit produces. If another edit is accepted first, the plan must be computed again.
 */
export const planFleet = (input: PlanInput): FleetPlan => {
    const plan = planningSteps.reduce((next, step) => step(next), createPlan(input));
    const changes = planChanges(plan);
    const edits: readonly Decision[] =
        changes.length === 0 ? [] : [{ kind: "edit", changes, reason: joinReasons(plan.reasons) }];
    return { decisions: [...edits, ...plan.decisions], plannerState: plan.plannerState };
};
