import type { VmId } from "@almondusher/fleet/ids";
import { isClearlyLarger, positionAmongEquals, type Ranking, type RankedVm } from "./acquisition-order.js";
import type { CandidateContent } from "./candidate-rows.js";

/** A lease and the VM that holds it. */
export interface HeldBy {
    readonly lease: string;
    readonly holder: VmId;
    /** How long the holder has held the lease, in milliseconds. */
    readonly heldMs: number;
}

/** Determines whether the holder of a lease hands it over. */
export interface RequestedHandover {
    readonly holder: RankedVm;
    readonly requester: RankedVm & Pick<CandidateContent, "request">;
    readonly lease: HeldBy;
    /** Time on the store's clock, in milliseconds. */
    readonly storeNowMs: number;
}

// Covers the time for which a scheduler may have to wait for runs of its predecessor, and limits the rate of handovers.
const MIN_TENURE_MS = 12_000;
// If the first of several idle VMs does not request the lease, the next one does.
const TURN_MS = 3000;
/** Time for which a request shows that its VM is alive, in milliseconds. */
export const REQUEST_VALIDITY_MS = 1500;

/** Returns the key of the lease that an idle VM should request from a clearly smaller holder; undefined if there is none. */
export const leaseToRequest = (ranking: Ranking, leases: readonly HeldBy[]): string | undefined => {
    const { self, others } = ranking;
    if (self.heldLeases > 0) {
        return undefined;
    }
    const misplaced = leases.filter(({ holder }) => {
        const holderVm = others.find(({ vm }) => vm === holder);
        return holderVm !== undefined && isClearlyLarger(self, holderVm);
    });
    if (misplaced.length === 0) {
        return undefined;
    }
    const position = positionAmongEquals(ranking);
    const chosen = misplaced[position % misplaced.length];
    const minHeldMs = MIN_TENURE_MS + Math.floor(position / misplaced.length) * TURN_MS;
    return chosen !== undefined && chosen.heldMs >= minHeldMs ? chosen.lease : undefined;
};

/** True if a request is recent and comes from a clearly larger VM without a lease. */
export const shouldHandOver = ({ holder, requester, lease, storeNowMs }: RequestedHandover): boolean =>
    requester.request?.lease === lease.lease &&
    storeNowMs - requester.request.atMs < REQUEST_VALIDITY_MS &&
    lease.heldMs >= MIN_TENURE_MS &&
    requester.heldLeases === 0 &&
    isClearlyLarger(requester, holder);
