import type { ProcessId } from "@almondusher/fleet/ids";
import type { GrantTable } from "@almondusher/slots/grant-table";
import type { SlotAllocation } from "@almondusher/slots/allocate-slots";
import type { ShortReserve } from "@almondusher/slots/short-reserve";
import type { PoolView } from "./fleet-view.js";
import type { ParsedReport } from "./slot-messages.js";

/** State that this process keeps for a pool while it is the pool's grantor. */
export interface GrantorState {
    readonly grantTable: GrantTable;
    readonly reports: Map<ProcessId, ParsedReport>;
    allocation: SlotAllocation;
    shortRequestReserve: ShortReserve | undefined;
    /** Monotonic time of the last allocation, in milliseconds. */
    allocatedAtMs: number;
    isAllocationPending: boolean;
    /** Pool view and members that the last allocation was computed for. */
    view: PoolView | undefined;
    members: readonly ProcessId[];
    /** Monotonic time from which slots without demand may move between members again, in milliseconds. */
    nextIdleSlotMoveAtMs: number;
}
