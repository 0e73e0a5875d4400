import { createHash } from "node:crypto";
import type { Assignment } from "@almondusher/fleet/assignment";
import type { Pool } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";
import { addDecisions, changeRows, type Plan } from "./plan.js";

const HASH_BYTES = 4;
const HASH_RANGE = 2 ** (8 * HASH_BYTES);

/** A number from 0 to 1 that is the same for all VMs of a rack, so that a rack is maintained together. */
const rackPhase = (vm: Vm): number =>
    createHash("sha256").update(`${vm.dataCentre}/${vm.rack}`).digest().readUIntBE(0, HASH_BYTES) / HASH_RANGE;

// Spread over the past period, the first maintenance of a new fleet does not fall on one day.
const firstMaintainedAtMs = (plan: Plan, vm: Vm): number => {
    const { nowMs, settings } = plan.input;
    return Math.round(nowMs - rackPhase(vm) * (settings.maintenancePeriodMs - settings.maintenanceLeadMs));
};

const newRow = (plan: Plan, vm: Vm, pool: Pool): Assignment => ({
    vm: vm.id,
    pool: pool.name,
    phase: { kind: "serving" },
    maintainedAtMs: firstMaintainedAtMs(plan, vm),
});

/** Puts VMs that a pool row names for the first time to service, once the platform lists them. */
export const assignVms = (plan: Plan): Plan => {
    const wanted = plan.input.state.pools.rows
        .flatMap(pool => pool.vms.map(id => ({ id, pool, vm: plan.listed.get(id) })))
        .filter(({ id }) => !plan.assignments.has(id));
    const written = wanted.flatMap(({ pool, vm }) => (vm === undefined ? [] : [newRow(plan, vm, pool)]));
    const unlisted = wanted.filter(({ vm }) => vm === undefined).map(({ id }) => id);
    const assigned = changeRows(plan, { written, reasons: written.map(row => `assign ${row.vm} to ${row.pool}`) });
    return addDecisions(
        assigned,
        unlisted.map(vm => ({ kind: "waiting", subject: vm, on: "platform-list", names: [vm] })),
    );
};
