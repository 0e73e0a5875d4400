import type { ProcessId, VmId } from "@almondusher/fleet/ids";

/** Slots of one VM that one entry may use. */
export interface VmSlots {
    readonly vm: VmId;
    readonly slots: number;
}

/** Slots of one VM that one member may use. */
export interface MemberSlots extends VmSlots {
    readonly member: ProcessId;
}

export const sumSlots = (rows: readonly { readonly slots: number }[]): number =>
    rows.reduce((sum, row) => sum + row.slots, 0);
