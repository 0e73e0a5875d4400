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

/** Where a VM is, as the platform last listed it. */
export type VmLocation = Pick<Vm, "id" | "rack" | "dataCentre">;

/** The pool whose row in the pools table names a VM. */
interface WantedPool {
    readonly vm: VmId;
    readonly pool: Pool;
}

/** A plan in progress; each system of the planner takes one and returns the next. */
export interface Plan {
    readonly input: PlanInput;
    /** Listed VMs by id. */
    readonly listed: EntityTable<VmId, Vm>;
    /** Where each VM is, as the platform last listed it. */
    readonly locations: EntityTable<VmId, VmLocation>;
    /** Pool whose row names the VM, by VM. */
    readonly wantedPools: EntityTable<VmId, WantedPool>;
    /** Assignments with the changes planned so far. */
    readonly assignments: EntityTable<VmId, Assignment>;
    readonly plannerState: PlannerState;
    readonly reasons: readonly string[];
    readonly decisions: readonly Decision[];
}

/** A plan without changes. */
export const startPlan = (input: PlanInput): Plan => ({
    input,
    listed: entityTable(input.vms, vm => vm.id),
    locations: entityTable([...input.plannerState.locations, ...input.vms], vm => vm.id),
    wantedPools: entityTable(
        input.state.pools.rows.flatMap(pool => pool.vms.map(vm => ({ vm, pool }))),
        wanted => wanted.vm,
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

/** The plan with rows of the assignments table written and removed. */
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

/** The plan with further decisions that change no row. */
export const addDecisions = (plan: Plan, decisions: readonly Decision[]): Plan => ({
    ...plan,
    decisions: [...plan.decisions, ...decisions],
});

/** The plan with parts of the planner's own state replaced. */
export const changePlannerState = (plan: Plan, parts: Partial<PlannerState>): Plan => ({
    ...plan,
    plannerState: { ...plan.plannerState, ...parts },
});

/** Revision that the edit of this plan produces if nobody else edits first. */
export const nextRevision = (plan: Plan): number => plan.input.state.revision + 1;

/** Pool that the VM should be in: the one that it is lent to, otherwise the one whose row names it. */
export const targetPool = (plan: Plan, row: Assignment): PoolName | undefined => {
    const wanted = plan.wantedPools.get(row.vm)?.pool;
    return isLoanValid(plan, row) ? row.loanedTo : wanted?.name;
};

/** False if the operator has since given the VM to a pool that lends none, or removed the borrower. */
export const isLoanValid = (plan: Plan, row: Assignment): boolean => {
    const wanted = plan.wantedPools.get(row.vm)?.pool;
    return (
        row.loanedTo !== undefined &&
        wanted !== undefined &&
        wanted.spare &&
        wanted.name !== row.loanedTo &&
        plan.input.state.pools.has(row.loanedTo)
    );
};

/** The changes that turn the assignments of the input into those of the plan. */
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
