import { isDeepStrictEqual } from "node:util";
import type { Assignment } from "@almondusher/fleet/assignment";
import type { Change } from "@almondusher/fleet/edit";
import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";
import type { Decision } from "./decision.js";
import type { PlanInput } from "./plan-input.js";
import type { PlannerState } from "./planner-state.js";

/** Location of a VM as the platform last listed it. */
export type VmLocation = Pick<Vm, "id" | "rack" | "dataCentre">;

/** A VM and the pool that lists it in the pools table. */
interface ConfiguredPool {
    readonly vm: VmId;
    readonly pool: Pool;
}

/** A plan in progress; each planning step takes one and returns the next. */
export interface Plan {
    readonly input: PlanInput;
    /** VMs on the platform's list. */
    readonly listedVms: EntityTable<VmId, Vm>;
    /** Last known location of each VM. */
    readonly locations: EntityTable<VmId, VmLocation>;
    /** Pool that lists the VM in the pools table, by VM. */
    readonly configuredPools: EntityTable<VmId, ConfiguredPool>;
    /** Assignments with the changes planned so far. */
    readonly assignments: EntityTable<VmId, Assignment>;
    readonly plannerState: PlannerState;
    readonly reasons: readonly string[];
    readonly decisions: readonly Decision[];
}

/** Creates a plan without changes. */
export const createPlan = (input: PlanInput): Plan => ({
    input,
    listedVms: entityTable(input.vms, vm => vm.id),
    locations: entityTable([...input.plannerState.locations, ...input.vms], vm => vm.id),
    configuredPools: entityTable(
        input.state.pools.rows.flatMap(pool => pool.vms.map(vm => ({ vm, pool }))),
        configured => configured.vm,
    ),
    assignments: input.state.assignments,
    plannerState: input.plannerState,
    reasons: [],
    decisions: [],
});

export interface RowChanges {
    readonly written: readonly Assignment[];
    readonly removed?: readonly VmId[];
    readonly reasons: readonly string[];
}

/** Returns the plan with rows of the assignments table written and removed. */
export const changeRows = (plan: Plan, { written, removed = [], reasons }: RowChanges): Plan => {
    if (written.length === 0 && removed.length === 0) {
        return plan;
    }
    const kept = plan.assignments.rows.filter(row => !removed.includes(row.vm));
    return {
        ...plan,
        assignments: entityTable([...kept, ...written], row => row.vm),
        reasons: [...plan.reasons, ...reasons],
    };
};

/** Returns the plan with additional decisions that change no row. */
export const addDecisions = (plan: Plan, decisions: readonly Decision[]): Plan => ({
    ...plan,
    decisions: [...plan.decisions, ...decisions],
});

/** Returns the plan with parts of the planner state replaced. */
export const changePlannerState = (plan: Plan, parts: Partial<PlannerState>): Plan => ({
    ...plan,
    plannerState: { ...plan.plannerState, ...parts },
});

/** Revision that the edit of this plan produces if no other edit is accepted first. */
export const nextRevision = (plan: Plan): number => plan.input.state.revision + 1;

/** Pool that the VM should be in: the borrower if it is on loan, otherwise the pool that lists it. */
export const targetPool = (plan: Plan, row: Assignment): PoolName | undefined => {
    const configured = plan.configuredPools.get(row.vm)?.pool;
    return isLoanValid(plan, row) ? row.loanedTo : configured?.name;
};

/** True if the pool that lists the VM is a spare pool other than the borrower, and the borrower still exists. */
export const isLoanValid = (plan: Plan, row: Assignment): boolean => {
    const configured = plan.configuredPools.get(row.vm)?.pool;
    return (
        row.loanedTo !== undefined &&
        configured !== undefined &&
        configured.spare &&
        configured.name !== row.loanedTo &&
        plan.input.state.pools.has(row.loanedTo)
    );
};

/** Computes the changes from the assignments of the input to those of the plan. */
export const planChanges = (plan: Plan): readonly Change[] => {
    const before = plan.input.state.assignments;
    const written = plan.assignments.rows
        .filter(row => !isDeepStrictEqual(before.get(row.vm), row))
        .map((row): Change => {
            const previous = before.get(row.vm);
            return previous === undefined
                ? { table: "assignments", key: row.vm, after: row }
                : { table: "assignments", key: row.vm, before: previous, after: row };
        });
    const removed = before.rows
        .filter(row => !plan.assignments.has(row.vm))
        .map((row): Change => ({ table: "assignments", key: row.vm, before: row }));
    return [...written, ...removed];
};
