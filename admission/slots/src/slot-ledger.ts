import type { ProcessId, TeamName, VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import { sumSlots, type VmSlots } from "./vm-slots.js";

/** The slots that a grantor lets one entry use, for a limited time. */
export interface Grant {
    readonly grantor: ProcessId;
    /** Increases with every changed grant of the same grantor; the entry returns it as its acknowledgement. */
    readonly version: number;
    readonly rows: readonly VmSlots[];
    /** Share of the guaranteed slots of each class that this entry may use. */
    readonly guarantees: ByUrgency<number>;
    /** Share of the quota of each team that this entry may use. */
    readonly quotas: readonly TeamSlots[];
    /** Time on the entry's clock at which the grant expires, in milliseconds. */
    readonly expiresAt: number;
}

export interface TeamSlots {
    readonly team: TeamName;
    readonly slots: number;
}

/** Slots of one pool as seen by one entry; modified only by the functions of this module. */
export interface SlotLedger {
    grant: Grant | undefined;
    /** Slots that the entry may use while no grant is valid, normally its rendezvous partition. */
    fallback: readonly VmSlots[];
    allowed: Map<VmId, number>;
    readonly inFlight: Map<VmId, number>;
}

export const createSlotLedger = (): SlotLedger => ({
    grant: undefined,
    fallback: [],
    allowed: new Map(),
    inFlight: new Map(),
});

/** Applies a grant; one that is older than the current grant of the same grantor is ignored. */
export const applyGrant = (ledger: SlotLedger, grant: Grant, now: number): void => {
    const current = ledger.grant;
    const isOlder = current?.grantor === grant.grantor && grant.version < current.version;
    if (!isOlder) {
        ledger.grant = grant;
        refreshAllowedSlots(ledger, now);
    }
};

/** Slots that the entry may use or has requests in flight on, for its report to the grantor. */
export const heldSlots = (ledger: SlotLedger): readonly VmSlots[] =>
    [...new Set([...ledger.allowed.keys(), ...ledger.inFlight.keys()])].map(vm => ({
        vm,
        slots: Math.max(ledger.allowed.get(vm) ?? 0, ledger.inFlight.get(vm) ?? 0),
    }));

/** Slots with a request in flight, for the report to the grantor. */
export const usedSlots = (ledger: SlotLedger): readonly VmSlots[] =>
    [...ledger.inFlight].map(([vm, slots]) => ({ vm, slots }));

/**
 * Version of the last applied grant if it is from the given grantor, otherwise 0; reported to acknowledge the grant.
 */
export const acknowledgedVersion = (ledger: SlotLedger, grantor: ProcessId): number =>
    ledger.grant?.grantor === grantor ? ledger.grant.version : 0;

/**
 * Sets the slots that the entry may use while it has no valid grant, normally its rendezvous partition. Call it
 * whenever the members or the VMs of the pool change.
 */
export const setFallback = (ledger: SlotLedger, fallback: readonly VmSlots[], now: number): void => {
    ledger.fallback = fallback;
    refreshAllowedSlots(ledger, now);
};

/**
 * Recomputes the allowed slots: those of the grant while it is valid, otherwise the fallback. Call it on every tick.
 */
export const refreshAllowedSlots = (ledger: SlotLedger, now: number): void => {
    const rows = ledger.grant !== undefined && isValid(ledger.grant, now) ? ledger.grant.rows : ledger.fallback;
    ledger.allowed = new Map(rows.map(row => [row.vm, row.slots]));
};

/** Guaranteed slots of each class under the valid grant; undefined while the fallback is used. */
export const guaranteedSlots = (ledger: SlotLedger, now: number): ByUrgency<number> | undefined =>
    ledger.grant !== undefined && isValid(ledger.grant, now) ? ledger.grant.guarantees : undefined;

/** Slots that the entry may use, whether free or in use. */
export const grantedSlots = (ledger: SlotLedger): number =>
    sumSlots([...ledger.allowed.values()].map(slots => ({ slots })));

/** Free slots of one VM. */
export const freeSlots = (ledger: SlotLedger, vm: VmId): number =>
    Math.max(0, (ledger.allowed.get(vm) ?? 0) - (ledger.inFlight.get(vm) ?? 0));

/** Free slots of all VMs. */
export const freeSlotsOfPool = (ledger: SlotLedger): number =>
    [...ledger.allowed.keys()].reduce((sum, vm) => sum + freeSlots(ledger, vm), 0);

/** Reserves a slot of the VM; returns false if none is free. */
export const reserveSlot = (ledger: SlotLedger, vm: VmId): boolean => {
    if (freeSlots(ledger, vm) === 0) {
        return false;
    }
    ledger.inFlight.set(vm, (ledger.inFlight.get(vm) ?? 0) + 1);
    return true;
};

/** Releases a slot of the VM when its request has ended, even if the entry may no longer use the slot by then. */
export const releaseSlot = (ledger: SlotLedger, vm: VmId): void => {
    const left = (ledger.inFlight.get(vm) ?? 0) - 1;
    if (left > 0) {
        ledger.inFlight.set(vm, left);
    } else {
        ledger.inFlight.delete(vm);
    }
};

/**
 * Connections that the entry may open to the VM: in proportion to its share of the slots, rounded down, but at least
 * one for each slot.
 */
export const connectionShare = (ledger: SlotLedger, { vm, slotsPerVm, connectionsPerVm }: ConnectionLimits): number => {
    const allowed = ledger.allowed.get(vm) ?? 0;
    return allowed === 0 ? 0 : Math.max(allowed, Math.floor((connectionsPerVm * allowed) / slotsPerVm));
};

// Limits of one VM for all entries together.
interface ConnectionLimits {
    readonly vm: VmId;
    readonly slotsPerVm: number;
    readonly connectionsPerVm: number;
}

const isValid = (grant: Grant, now: number): boolean => now < grant.expiresAt;
