import { createHash } from "node:crypto";
import type { Assignment } from "@almondusher/fleet/assignment";
import type { Pool } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";
import { addDecisions, changeRows, type Plan } from "./plan.js";

const HASH_BYTES = 4;
const HASH_RANGE = 2 ** (8 * HASH_BYTES);

/** Hashes the rack to a fraction from 0 to 1, so that all VMs of a rack become due for maintenance together. */
const rackFraction = (vm: Vm): number =>
    createHash("sha256").update(`${vm.dataCentre}/${vm.rack}`).digest().readUIntBE(0, HASH_BYTES) / HASH_RANGE;

// Spreads the assumed last maintenance over the past period, so that the VMs of a new fleet are not all due on one day.
const firstMaintainedAtMs = (plan: Plan, vm: Vm): number => {
    const { nowMs, settings } = plan.input;
    return Math.round(nowMs - rackFraction(vm) * (settings.maintenancePeriodMs - settings.maintenanceLeadMs));
};

const newAssignment = (plan: Plan, vm: Vm, pool: Pool): Assignment => ({
    vm: vm.id,
    pool: pool.name,
    phase: { kind: "serving" },
    maintainedAtMs: firstMaintainedAtMs(plan, vm),
});

/** Assigns VMs that are new in the pools table to their pool, once the platform lists them. */
export const assignVms = (plan: Plan): Plan => {
    const wanted = plan.input.state.pools.rows
        .flatMap(pool => pool.vms.map(id => ({ id, pool, vm: plan.listedVms.get(id) })))
        .filter(({ id }) => !plan.assignments.has(id));
    const written = wanted.flatMap(({ pool, vm }) => (vm === undefined ? [] : [newAssignment(plan, vm, pool)]));
    const unlisted = wanted.filter(({ vm }) => vm === undefined).map(({ id }) => id);
    const assigned = changeRows(plan, { written, reasons: written.map(row => `assign ${row.vm} to ${row.pool}`) });
    return addDecisions(
        assigned,
        unlisted.map(vm => ({ kind: "waiting", subject: vm, on: "platform-list", names: [vm] })),
    );
};
