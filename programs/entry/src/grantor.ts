import type { ProcessId } from "@almondusher/fleet/ids";
import type { GrantBook } from "@almondusher/slots/grant-book";
import type { Division } from "@almondusher/slots/grant-slots";
import type { QuickReserve } from "@almondusher/slots/quick-reserve";
import type { PoolView } from "./fleet-view.js";
import type { ReadReport } from "./slot-messages.js";

/** What this process keeps for a pool while it is the pool's grantor. */
export interface Grantor {
    readonly book: GrantBook;
    readonly reports: Map<ProcessId, ReadReport>;
    division: Division;
    quickReserve: QuickReserve | undefined;
    /** Monotonic time of the last division, in milliseconds. */
    dividedAtMs: number;
    isDivisionPending: boolean;
    /** What the division was made for. */
    view: PoolView | undefined;
    members: readonly ProcessId[];
    /** Monotonic time from which slots without demand may move again, in milliseconds. */
    nextSpareMoveAt: number;
}
