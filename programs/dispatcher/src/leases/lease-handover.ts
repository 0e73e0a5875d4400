import type { VmId } from "@almondusher/fleet/ids";
import {
    isClearlyLarger,
    positionAmongEquals,
    relievesHolder,
    type Ranking,
    type RankedVm,
} from "./acquisition-order.js";
import type { CandidateContent } from "./candidate-rows.js";
import type { SchedulerStatus } from "./lease-rows.js";

/** A lease and the VM that holds it. */
export interface HeldBy {
    readonly lease: string;
    readonly holder: VmId;
    /** How long the holder has held the lease, in milliseconds. */
    readonly heldMs: number;
    /** As stored by the holder; undefined for the fleet, and in rows written by earlier versions. */
    readonly schedulerStatus?: SchedulerStatus | undefined;
    /** Number of accepted jobs of the pool that have not started. */
    readonly pendingJobs?: number;
}

/** Determines whether the holder of a lease hands it over. */
export interface RequestedHandover {
    readonly holder: RankedVm;
    readonly requester: RankedVm & Pick<CandidateContent, "request">;
    readonly lease: HeldBy;
    /** Time on the store's clock, in milliseconds. */
    readonly storeNowMs: number;
}

/** When a lease may be requested and handed over. */
interface HandoverRules {
    /** Time for which the holder keeps the lease, in milliseconds. */
    readonly minTenureMs: number;
    /** If the first of several VMs does not request the lease within this time, the next one does; in milliseconds. */
    readonly turnMs: number;
    /** At most as many VMs leave the lease to others, one after the other. */
    readonly maxTurns: number;
    /** Time for which a request shows that its VM is alive, in milliseconds. */
    readonly requestValidityMs: number;
    /** Time between two requests of a VM, in milliseconds. */
    readonly requestIntervalMs: number;
}

// The tenure covers the time for which a scheduler may have to wait for runs of its predecessor, and limits the rate of
// handovers.
const ORDINARY_RULES: HandoverRules = {
    minTenureMs: 12_000,
    turnMs: 3000,
    maxTurns: Infinity,
    requestValidityMs: 1500,
    requestIntervalMs: 10_000,
};
// While the scheduler starts no tasks, or not all that could start, the handover interrupts little and tasks wait for it.
// A holder that is busy reading or late notices a request later.
const URGENT_RULES = {
    turnMs: 500,
    maxTurns: 4,
    requestValidityMs: 3000,
    requestIntervalMs: 2000,
};
// A scheduler with few jobs is ready within this time.
const STARTING_RULES: HandoverRules = { ...URGENT_RULES, minTenureMs: 1000 };
const BEHIND_RULES: HandoverRules = { ...URGENT_RULES, minTenureMs: 4000 };

/** The longest time for which a request may be granted, in milliseconds. */
export const MAX_REQUEST_VALIDITY_MS = URGENT_RULES.requestValidityMs;

const rulesFor = ({ schedulerStatus }: HeldBy): HandoverRules => {
    switch (schedulerStatus) {
        case "starting":
            return STARTING_RULES;
        case "behind":
            return BEHIND_RULES;
        case "current":
        case undefined:
            return ORDINARY_RULES;
    }
};

/** True if tasks wait for the handover of the lease to a larger VM. */
export const isUrgent = (lease: HeldBy): boolean => rulesFor(lease) !== ORDINARY_RULES;

// A lease moves to a clearly larger VM only, so it cannot go back and forth.
const mayMove = (lease: HeldBy, holder: RankedVm, to: RankedVm): boolean =>
    isClearlyLarger(to, holder) && (isUrgent(lease) ? relievesHolder(to, holder) : to.heldLeases === 0);

const byPendingJobs = (left: HeldBy, right: HeldBy): number => (right.pendingJobs ?? 0) - (left.pendingJobs ?? 0);

/**
 * Returns the key of the lease that a VM should request from a clearly smaller holder; undefined if there is none, or if the
 * last request of the VM was too short a time ago, which is in milliseconds.
 */
export const leaseToRequest = (
    ranking: Ranking,
    leases: readonly HeldBy[],
    sinceRequestMs = Infinity,
): string | undefined => {
    const { self, others } = ranking;
    const misplaced = leases.filter(lease => {
        const holder = others.find(({ vm }) => vm === lease.holder);
        return holder !== undefined && mayMove(lease, holder, self);
    });
    const urgent = misplaced.filter(isUrgent).sort(byPendingJobs);
    const choice = urgent.length > 0 ? urgent : misplaced;
    const position = positionAmongEquals(ranking);
    const chosen = choice[position % choice.length];
    if (chosen === undefined) {
        return undefined;
    }
    const { minTenureMs, turnMs, maxTurns, requestIntervalMs } = rulesFor(chosen);
    const turn = Math.min(Math.floor(position / choice.length), maxTurns);
    return chosen.heldMs >= minTenureMs + turn * turnMs && sinceRequestMs >= requestIntervalMs
        ? chosen.lease
        : undefined;
};

/** True if a request is recent and comes from a clearly larger VM that may get the lease. */
export const shouldHandOver = ({ holder, requester, lease, storeNowMs }: RequestedHandover): boolean => {
    const { minTenureMs, requestValidityMs } = rulesFor(lease);
    return (
        requester.request?.lease === lease.lease &&
        storeNowMs - requester.request.atMs < requestValidityMs &&
        lease.heldMs >= minTenureMs &&
        mayMove(lease, holder, requester)
    );
};
