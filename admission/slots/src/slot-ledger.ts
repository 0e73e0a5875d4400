import type { TeamName, VmId } from "@almondusher/fleet/ids";
import { sumSlots, type VmSlots } from "./vm-slots.js";

/** What a grantor gave to one entry. */
export interface Grant {
    /** Rises with every grant of the same grantor to the same entry; sent back as the acknowledgement. */
    readonly version: number;
    readonly rows: readonly VmSlots[];
    /** Part of the quota of each team that this entry may use. */
    readonly quotas: readonly TeamSlots[];
    /** Time until which the grant is valid on the clock of the entry, in milliseconds. */
    readonly expiresAt: number;
}

/** Slots of one team. */
export interface TeamSlots {
    readonly team: TeamName;
    readonly slots: number;
}

/** The view that one entry has of the slots of one pool; changed only by the functions of this module. */
export interface SlotLedger {
    grant: Grant | undefined;
    /** The rendezvous partition, used while no grant is valid. */
    fallback: readonly VmSlots[];
    allowed: Map<VmId, number>;
    readonly inFlight: Map<VmId, number>;
}

/** A ledger without slots. */
export const createSlotLedger = (): SlotLedger => ({
    grant: undefined,
    fallback: [],
    allowed: new Map(),
    inFlight: new Map(),
});

/** Takes a grant over at once; an older version is ignored. */
export const applyGrant = (ledger: SlotLedger, grant: Grant, now: number): void => {
    if (ledger.grant === undefined || !isValid(ledger.grant, now) || grant.version >= ledger.grant.version) {
        ledger.grant = grant;
        refreshAllowed(ledger, now);
    }
};

/** Sets the rendezvous partition, which changes with the members and the VMs of the pool. */
export const setFallback = (ledger: SlotLedger, fallback: readonly VmSlots[], now: number): void => {
    ledger.fallback = fallback;
    refreshAllowed(ledger, now);
};

/** Drops a grant that has expired; call it on every tick. */
export const refreshAllowed = (ledger: SlotLedger, now: number): void => {
    const rows = ledger.grant !== undefined && isValid(ledger.grant, now) ? ledger.grant.rows : ledger.fallback;
    ledger.allowed = new Map(rows.map(row => [row.vm, row.slots]));
};

/** Slots that the entry may use, free or not. */
export const grantedSlots = (ledger: SlotLedger): number =>
    sumSlots([...ledger.allowed.values()].map(slots => ({ slots })));

/** Free slots of one VM. */
export const freeSlots = (ledger: SlotLedger, vm: VmId): number =>
    Math.max(0, (ledger.allowed.get(vm) ?? 0) - (ledger.inFlight.get(vm) ?? 0));

/** Free slots of all VMs. */
export const freeSlotsOfPool = (ledger: SlotLedger): number =>
    [...ledger.allowed.keys()].reduce((sum, vm) => sum + freeSlots(ledger, vm), 0);

/** Takes a slot of the VM; false if none is free. */
export const reserveSlot = (ledger: SlotLedger, vm: VmId): boolean => {
    if (freeSlots(ledger, vm) === 0) {
        return false;
    }
    ledger.inFlight.set(vm, (ledger.inFlight.get(vm) ?? 0) + 1);
    return true;
};

/** Gives a slot back. */
export const releaseSlot = (ledger: SlotLedger, vm: VmId): void => {
    const left = (ledger.inFlight.get(vm) ?? 0) - 1;
    if (left > 0) {
        ledger.inFlight.set(vm, left);
    } else {
        ledger.inFlight.delete(vm);
    }
};

/** Connections that the entry may open to the VM: its part of the slots, rounded down, and at least one with a slot. */
export const connectionShare = (ledger: SlotLedger, { vm, slotsPerVm, connectionsPerVm }: ConnectionLimits): number => {
    const allowed = ledger.allowed.get(vm) ?? 0;
    return allowed === 0 ? 0 : Math.max(allowed, Math.floor((connectionsPerVm * allowed) / slotsPerVm));
};

/** Limits of one VM that all entries share. */
export interface ConnectionLimits {
    readonly vm: VmId;
    readonly slotsPerVm: number;
    readonly connectionsPerVm: number;
}

const isValid = (grant: Grant, now: number): boolean => now < grant.expiresAt;
