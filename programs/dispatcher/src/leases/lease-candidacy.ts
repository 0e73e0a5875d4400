import type { VmId } from "@almondusher/fleet/ids";
import { acquisitionDelayMs, chooseLease, precedingVms, type RankedVm, type Ranking } from "./acquisition-order.js";
import type { CandidateContent, HandoverRequest } from "./candidate-rows.js";
import type { CandidateView } from "./candidate-view.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { isUrgent, leaseToRequest, MAX_REQUEST_VALIDITY_MS, shouldHandOver } from "./lease-handover.js";
import { leaseKey, type LeaseSubject } from "./lease-rows.js";
import { createLeaseTenures } from "./lease-tenures.js";
import type { LeaseView } from "./lease-view.js";
import { createValuePeriods } from "./value-periods.js";
import { vmCapacity } from "../fleet/vm-capacity.js";

/** A lease that this process should acquire now. */
export interface DueLease {
    readonly subject: LeaseSubject;
    /** VMs that had precedence but have not acquired the lease, and the holder that has let it expire. */
    readonly unresponsive: readonly VmId[];
}

/** Decides which available leases this process acquires, and when. */
export interface LeaseCandidacy {
    /** Reads the other candidates and makes this one known, if necessary. */
    readonly refresh: () => Promise<void>;
    /** Returns the lease to acquire next, except those already tried; undefined if none is due. */
    readonly nextDue: (tried: ReadonlySet<string>) => DueLease | undefined;
    /** Starts all waiting times again; called when the leases could not be read. */
    readonly interrupt: () => void;
    /** True if a VM with clearly more capacity has recently requested a lease of this process. */
    readonly isRequested: (subject: LeaseSubject) => boolean;
    /** Leaves a lease that this process gives up, since it could not act under it, to other processes first. */
    readonly standAside: (subject: LeaseSubject) => void;
    /** Requests a lease no more for a while, if it was requested recently and this process could not acquire it. */
    readonly acquisitionFailed: (subject: LeaseSubject) => void;
    /**
     * Time until the leases have to be read again for the next available one, except those already tried, or for one that
     * was requested, in milliseconds; infinite if there is none.
     */
    readonly untilDueMs: (tried: ReadonlySet<string>) => number;
    /** Makes known that this process acquires no more leases. */
    readonly withdraw: () => Promise<void>;
}

export interface LeaseCandidacyOptions {
    readonly context: DispatcherContext;
    readonly candidates: CandidateView;
    readonly view: Pick<LeaseView, "observation">;
    readonly subjects: () => readonly LeaseSubject[];
    readonly isAvailable: (subject: LeaseSubject) => boolean;
    /** Number of leases that this process holds. */
    readonly heldLeases: () => number;
}

/** An available lease, and when this process may acquire it. */
interface AvailableLease {
    readonly subject: LeaseSubject;
    readonly dueInMs: number;
}

interface CandidateRanking extends Ranking {
    readonly others: readonly (RankedVm & CandidateContent)[];
}

const ANNOUNCE_RETRY_INTERVAL_MS = 2000;
const REQUESTED_POLL_INTERVAL_MS = 100;
// For this time a process takes a lease under which it could not act only if no other one does, and does not request it.
const STAND_ASIDE_MS = 60_000;
// Longer than a poll and the longest time for which another process leaves an available lease to others.
const STAND_ASIDE_DELAY_MS = 5000;
// A holder that released its lease in vain reads everything anew once it has it back. As long as an ordinary tenure.
const NO_REQUEST_MS = 12_000;
// Longer than a requested lease takes to be released, and its acquisition to fail.
const MAX_REQUEST_AGE_MS = 10_000;

/** Creates the candidacy of this process; it starts with the first `refresh`. */
export const createLeaseCandidacy = (options: LeaseCandidacyOptions): LeaseCandidacy => {
    const { context, candidates, view, subjects, isAvailable } = options;
    const capacity = vmCapacity(context.settings);
    /** Versions of the rows of available leases; the waiting time for a lease starts again when its row changes. */
    const availableVersions = createValuePeriods<number>(context.monotonicMs);
    const tenures = createLeaseTenures({ context, view });
    /** Monotonic times until which this process stands aside, by the keys of the leases. */
    const asideUntilMs = new Map<string, number>();
    /** Monotonic times from which this process may request leases, by their keys. */
    const mayRequestFromMs = new Map<string, number>();
    let announcedAtMs = Number.NEGATIVE_INFINITY;
    let request: HandoverRequest | undefined;

    const standsAside = (subject: LeaseSubject): boolean =>
        context.monotonicMs() < (asideUntilMs.get(leaseKey(subject)) ?? Number.NEGATIVE_INFINITY);
    const mayRequest = (subject: LeaseSubject): boolean =>
        mayBeHandedOver(subject) &&
        !standsAside(subject) &&
        context.monotonicMs() >= (mayRequestFromMs.get(leaseKey(subject)) ?? Number.NEGATIVE_INFINITY);
    const holderOf = (subject: LeaseSubject): VmId | undefined => view.observation(leaseKey(subject))?.record?.holder;
    const rank = (): CandidateRanking => {
        const holders = subjects().map(holderOf);
        // The holder of an expired lease has probably failed.
        const expired = new Set(subjects().filter(isAvailable).map(holderOf));
        return {
            self: { vm: context.vm, capacity, heldLeases: options.heldLeases() },
            others: candidates
                .all()
                .filter(({ vm }) => vm !== context.vm && !expired.has(vm))
                .map(other => ({ ...other, heldLeases: holders.filter(holder => holder === other.vm).length })),
        };
    };
    const unresponsiveVms = (subject: LeaseSubject, ranked: Ranking): readonly VmId[] => {
        const holder = holderOf(subject);
        if (holder === context.vm) {
            return [];
        }
        return holder === undefined ? precedingVms(ranked) : [...precedingVms(ranked), holder];
    };
    const trackAvailability = (): void =>
        subjects().forEach(subject => {
            const key = leaseKey(subject);
            availableVersions.observe(key, isAvailable(subject) ? (view.observation(key)?.version ?? 0) : undefined);
        });
    const availableLeases = (): readonly AvailableLease[] => {
        trackAvailability();
        const available = subjects().filter(isAvailable);
        if (available.length === 0) {
            return [];
        }
        const ranked = rank();
        return available.map(subject => {
            const delayMs = acquisitionDelayMs({
                ...ranked,
                previousHolder: holderOf(subject),
                neverHeld: view.observation(leaseKey(subject))?.record === undefined,
            });
            const nowMs = context.monotonicMs();
            const sinceMs = availableVersions.sinceMs(leaseKey(subject)) ?? nowMs;
            const asideMs = standsAside(subject) ? STAND_ASIDE_DELAY_MS : 0;
            return { subject, dueInMs: sinceMs + delayMs + asideMs - nowMs };
        });
    };
    const requestHandover = (): void => {
        const atMs = context.store.nowMs();
        // A VM that may acquire an available lease does so first, unless a pool stands still meanwhile.
        const mayAcquire = subjects().some(isAvailable);
        const leases = subjects()
            .filter(mayRequest)
            .map(tenures.heldBy)
            .filter(held => held !== undefined)
            .filter(held => !mayAcquire || isUrgent(held));
        const lease = leaseToRequest(rank(), leases, atMs - (request?.atMs ?? Number.NEGATIVE_INFINITY));
        if (lease !== undefined) {
            request = { lease, atMs };
            const { holder, schedulerStatus } = leases.find(held => held.lease === lease) ?? {};
            context.log("lease-requested", { lease, holder, schedulerStatus });
        }
    };
    const announce = async (): Promise<void> => {
        const atMs = context.monotonicMs();
        if (await candidates.announce(context.vm, { capacity, request })) {
            announcedAtMs = atMs;
        }
    };
    return {
        refresh: async () => {
            await candidates.load();
            tenures.track(subjects());
            if (context.monotonicMs() - announcedAtMs >= ANNOUNCE_RETRY_INTERVAL_MS) {
                requestHandover();
                await announce();
            }
        },
        nextDue: tried => {
            const due = availableLeases()
                .filter(({ subject, dueInMs }) => dueInMs <= 0 && !tried.has(leaseKey(subject)))
                .map(({ subject }) => subject);
            if (due.length === 0) {
                return undefined;
            }
            const ranked = rank();
            const subject = chooseLease(due, ranked);
            return subject === undefined ? undefined : { subject, unresponsive: unresponsiveVms(subject, ranked) };
        },
        interrupt: availableVersions.clear,
        isRequested: subject => {
            const { self: holder, others } = rank();
            const lease = tenures.heldBy(subject);
            const storeNowMs = context.store.nowMs();
            return (
                mayBeHandedOver(subject) &&
                lease !== undefined &&
                others.some(requester => shouldHandOver({ holder, requester, lease, storeNowMs }))
            );
        },
        standAside: subject => {
            asideUntilMs.set(leaseKey(subject), context.monotonicMs() + STAND_ASIDE_MS);
        },
        acquisitionFailed: subject => {
            const lease = leaseKey(subject);
            if (request?.lease === lease && context.store.nowMs() - request.atMs < MAX_REQUEST_AGE_MS) {
                mayRequestFromMs.set(lease, context.monotonicMs() + NO_REQUEST_MS);
            }
        },
        untilDueMs: tried =>
            Math.min(
                request !== undefined && context.store.nowMs() - request.atMs < MAX_REQUEST_VALIDITY_MS
                    ? REQUESTED_POLL_INTERVAL_MS
                    : Infinity,
                ...availableLeases()
                    .filter(({ subject }) => !tried.has(leaseKey(subject)))
                    .map(({ dueInMs }) => dueInMs),
            ),
        withdraw: () => candidates.remove([context.vm]),
    };
};

// Orders for a VM from two successive holders of the fleet lease must be further apart than a handover takes.
const mayBeHandedOver = ({ kind }: LeaseSubject): boolean => kind === "pool";
