import { EventEmitter } from "node:events";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { initialRunNumbers, nextReservation, nextToken, type RunNumbers } from "@almondusher/scheduler/run-numbers";
import { createErrorReporter, repeatWhileActive } from "./contain-errors.js";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { createCandidateView } from "./candidate-view.js";
import { createLeaseCandidacy, type DueLease } from "./lease-candidacy.js";
import {
    emptyLeaseContent,
    encodeLease,
    leaseKey,
    leaseRow,
    type LeaseContent,
    type LeaseRecord,
    type LeaseSubject,
} from "./lease-rows.js";
import { transactUntilKnown, versionIfOwn, writeRelease } from "./lease-transactions.js";
import { createLeaseView, type LeaseObservation } from "./lease-view.js";
import { inheritedRunsUntilMs, type Takeover } from "./run-leases.js";

/** A lease that this process holds. */
export interface HeldLease extends Takeover {
    readonly subject: LeaseSubject;
    /** Fencing token. */
    readonly epoch: number;
    /** The run numbers that this process may give; unused for the lease of the fleet. */
    readonly runNumbers: RunNumbers;
    /**
     * Time on the store's clock until which runs of earlier holders may be active on executors that this one has not asked,
     * in milliseconds; stored in the lease for the next holder.
     */
    readonly inheritedRunsUntilMs: number;
    /** Monotonic time at which the last confirmed renewal was sent, in milliseconds. */
    renewedAtMs: number;
    /** Unix time at which the last confirmed renewal was sent, in milliseconds. */
    renewedWallMs: number;
    /** Version of the lease row that the next renewal expects. */
    version: number;
    /** Set when another process has acquired the lease, or when this one has ended its work to release it. */
    lost: boolean;
}

/** Callbacks for the leases that this process acquires. */
export interface LeaseHolder {
    /** Called after a lease was acquired. */
    readonly begin: (lease: HeldLease) => void;
    /** Called after a lease was lost or before it is released; resolves once nothing more is sent under it. */
    readonly end: (lease: HeldLease) => Promise<void>;
    /** Returns the content to store with the next renewal. */
    readonly content: (lease: HeldLease) => LeaseContent;
    /** Called after a renewal, with the content that it stored. */
    readonly renewed: (lease: HeldLease, content: LeaseContent) => void;
}

/** Holds the leases of this process and tracks those of other processes. */
export interface LeaseManager {
    /** Returns the record of a lease if it was renewed and read within the given time. */
    readonly freshRecord: (subject: LeaseSubject, maxAgeMs: number) => LeaseRecord | undefined;
    /** Returns the record of a lease as last read, regardless of its age. */
    readonly lastRecord: (subject: LeaseSubject) => LeaseRecord | undefined;
    /** Emits `change` when a poll has read a changed lease row. */
    readonly events: EventEmitter;
    /** Renews a held lease immediately; resolves to false if the renewal failed. */
    readonly renew: (lease: HeldLease) => Promise<boolean>;
    /** Releases all held leases. */
    readonly close: () => Promise<void>;
}

export interface LeaseManagerOptions {
    readonly context: DispatcherContext;
    /** Returns the leases that should be held by some process. */
    readonly subjects: () => readonly LeaseSubject[];
    readonly holder: LeaseHolder;
}

const POLL_INTERVAL_MS = 400;
// Holders poll more often: the fleet manager reads the demand of pools from their leases, and pool schedulers read the
// VMs to evacuate from the fleet manager's lease.
const HOLDER_POLL_INTERVAL_MS = 120;
// Used until the configuration is known, so that a restarted process finds its own leases at once.
const UNCONFIGURED_POLL_INTERVAL_MS = 20;
const RENEW_INTERVAL_MS = 500;
// A pool lease that has not changed for this long may be acquired by another process.
const POOL_LEASE_DURATION_MS = 2000;
// The platform requires at least this much time between orders for a VM from two successive holders.
export const FLEET_LEASE_DURATION_MS = 3300;

/**
 * Returns the time since this process last certainly held the lease, in milliseconds.
 * The monotonic clock stops while a VM is suspended, so the wall clock is used as well. If the wall clock jumps ahead,
 * the holder only has to wait for its next renewal.
 */
export const leaseAgeMs = (
    { renewedAtMs, renewedWallMs }: HeldLease,
    context: Pick<DispatcherContext, "monotonicMs">,
): number => Math.max(context.monotonicMs() - renewedAtMs, Date.now() - renewedWallMs);

// From this fraction of the lease duration after the last renewal, another process may hold the lease.
const SAFE_LEASE_FRACTION = 0.8;

/** True if no other process can have acquired the pool lease. */
export const isPoolLeaseSafe = (lease: HeldLease, context: Pick<DispatcherContext, "monotonicMs">): boolean =>
    !lease.lost && leaseAgeMs(lease, context) < POOL_LEASE_DURATION_MS * SAFE_LEASE_FRACTION;

/**
 * Returns the latest known time at which this process certainly held the pool lease, in milliseconds of the monotonic clock.
 */
export const poolLeaseHeldAtMs = (lease: HeldLease, context: Pick<DispatcherContext, "monotonicMs">): number => {
    // Read before the check, since the process may be paused after it.
    const nowMs = context.monotonicMs();
    return isPoolLeaseSafe(lease, context) ? nowMs : lease.renewedAtMs;
};

const hasExpired = (subject: LeaseSubject, { unchangedMs }: LeaseObservation): boolean =>
    unchangedMs >= (subject.kind === "fleet" ? FLEET_LEASE_DURATION_MS : POOL_LEASE_DURATION_MS);

const nextEpoch = (subject: LeaseSubject, observation: LeaseObservation | undefined): number => {
    if (observation === undefined) {
        return 1;
    }
    // Each acquisition and each reservation of run numbers increases the version of the row, so the version of an unreadable
    // row stands for the token.
    const { record = { epoch: observation.version, runNumbersUpTo: undefined } } = observation;
    return subject.kind === "pool" ? nextToken(record) : record.epoch + 1;
};

const storedReservation = ({ kind }: LeaseSubject, reservedUpTo: number): number | undefined =>
    kind === "pool" ? reservedUpTo : undefined;

/** Starts acquiring, renewing and observing leases. */
export const createLeaseManager = ({ context, subjects, holder }: LeaseManagerOptions): LeaseManager => {
    const { store, monotonicMs } = context;
    const heldLeases = new Map<string, HeldLease>();
    const candidates = createCandidateView(store);
    const view = createLeaseView({ store, candidates, monotonicMs });
    const runningRenewals = new Map<string, Promise<boolean>>();
    const waitingRenewals = new Map<string, Promise<boolean>>();
    const events = new EventEmitter();
    const reportRenewalError = createErrorReporter({ context, part: "lease-renewal" });
    let closed = false;
    let runningAcquisition: Promise<void> | undefined;
    let runningHandover: Promise<void> | undefined;

    const handleLostLease = async (lease: HeldLease, reason: string): Promise<void> => {
        if (lease.lost) {
            return;
        }
        lease.lost = true;
        heldLeases.delete(leaseKey(lease.subject));
        context.log("lease-lost", { lease: leaseKey(lease.subject), epoch: lease.epoch, reason });
        context.metrics.count("leases_lost");
        await holder.end(lease);
    };

    const renewOnce = async (lease: HeldLease): Promise<boolean> => {
        const key = leaseKey(lease.subject);
        if (heldLeases.get(key) !== lease) {
            return false;
        }
        const sentAtMs = monotonicMs();
        const sentWallMs = Date.now();
        const content = holder.content(lease);
        const reservation = nextReservation(lease.runNumbers);
        const record: LeaseRecord = {
            ...content,
            holder: context.vm,
            process: context.process,
            epoch: lease.epoch,
            runNumbersUpTo: storedReservation(lease.subject, reservation),
        };
        const value = encodeLease(record);
        const commit = await store.transact({
            expect: [{ ...leaseRow(key), version: lease.version }],
            writes: [{ ...leaseRow(key), value }],
        });
        switch (commit.kind) {
            case "committed":
                lease.version = Math.max(lease.version, commit.version);
                lease.renewedAtMs = sentAtMs;
                lease.renewedWallMs = sentWallMs;
                lease.runNumbers.reservedUpTo = reservation;
                holder.renewed(lease, content);
                return true;
            case "conflict":
                return resolveConflict(lease, commit.rows[0]);
            case "not-run":
            case "unknown":
                return false;
        }
    };

    // Renewals of a lease run one at a time, since each expects the row version written by the previous one. Calls made
    // during a renewal share the one that follows it.
    const renew = (lease: HeldLease): Promise<boolean> => {
        const key = leaseKey(lease.subject);
        const waiting = waitingRenewals.get(key);
        if (waiting !== undefined) {
            return waiting;
        }
        const next = (runningRenewals.get(key) ?? Promise.resolve(false)).then(() => {
            waitingRenewals.delete(key);
            const running = renewOnce(lease).catch((error: unknown) => {
                reportRenewalError(error);
                return false;
            });
            runningRenewals.set(key, running);
            return running;
        });
        waitingRenewals.set(key, next);
        return next;
    };

    // A conflict does not always mean that the lease is lost: an earlier renewal that was not answered may have been
    // applied, in which case the row still names this process.
    const resolveConflict = async (lease: HeldLease, row: Row | undefined): Promise<boolean> => {
        const ownVersion = versionIfOwn(context, row, lease.epoch);
        if (ownVersion !== undefined) {
            lease.version = Math.max(lease.version, ownVersion);
            return false;
        }
        await handleLostLease(lease, "another process holds the lease");
        return false;
    };

    const isAvailable = (subject: LeaseSubject): boolean => {
        const key = leaseKey(subject);
        if (heldLeases.has(key)) {
            return false;
        }
        const observation = view.observation(key);
        if (observation === undefined || hasExpired(subject, observation)) {
            return true;
        }
        const { record } = observation;
        // The holder of a lease whose row is unreadable may be alive.
        if (record === undefined) {
            return false;
        }
        const ownPrevious = record.holder === context.vm && record.process !== context.process;
        return record.holder === undefined || ownPrevious;
    };

    const candidacy = createLeaseCandidacy({
        context,
        candidates,
        view,
        subjects,
        isAvailable,
        heldLeases: () => heldLeases.size,
    });

    const acquire = async ({ subject, unresponsive }: DueLease): Promise<void> => {
        const key = leaseKey(subject);
        const lastObservation = view.observation(key);
        const predecessor = lastObservation?.record;
        const epoch = nextEpoch(subject, lastObservation);
        const runNumbers = initialRunNumbers(epoch);
        const sentAtMs = monotonicMs();
        const sentWallMs = Date.now();
        const takeover: Takeover = {
            predecessor,
            predecessorEnded:
                lastObservation === undefined ||
                (predecessor !== undefined && (predecessor.holder === undefined || predecessor.holder === context.vm)),
            unrenewedMs: lastObservation?.unchangedMs ?? 0,
        };
        const runsUntilMs = inheritedRunsUntilMs(takeover, store.nowMs());
        const record: LeaseRecord = {
            ...(predecessor ?? emptyLeaseContent),
            // Nothing keeps the VMs empty until this holder has read which ones are being evacuated.
            vacated: [],
            inheritedRunsUntilMs: runsUntilMs,
            holder: context.vm,
            process: context.process,
            epoch,
            runNumbersUpTo: storedReservation(subject, runNumbers.reservedUpTo),
        };
        const commit = await transactUntilKnown({
            writer: context,
            transaction: {
                expect: [{ ...leaseRow(key), version: lastObservation?.version ?? 0 }],
                writes: [{ ...leaseRow(key), value: encodeLease(record) }],
            },
            endMs: sentAtMs + POOL_LEASE_DURATION_MS,
        });
        const version =
            commit.kind === "committed"
                ? commit.version
                : commit.kind === "conflict"
                  ? versionIfOwn(context, commit.rows[0], epoch)
                  : undefined;
        if (commit.kind === "conflict") {
            view.observe(commit.rows);
        }
        if (version === undefined) {
            return;
        }
        const lease: HeldLease = {
            subject,
            epoch,
            runNumbers,
            ...takeover,
            inheritedRunsUntilMs: runsUntilMs,
            renewedAtMs: sentAtMs,
            renewedWallMs: sentWallMs,
            version,
            lost: false,
        };
        // During a stop the lease is released at once, unless its previous holder may still act: releasing it would tell the
        // next holder that there is no such process.
        if (closed && !lease.predecessorEnded) {
            return;
        }
        heldLeases.set(key, lease);
        context.log("lease-taken", {
            lease: key,
            epoch,
            predecessor: predecessor?.holder,
            unchangedMs: lease.unrenewedMs,
        });
        context.metrics.count("leases_taken");
        if (!closed) {
            holder.begin(lease);
        }
        await candidates.remove(unresponsive);
    };

    const poll = async (): Promise<void> => {
        const refreshed = await view.refresh(subjects().map(leaseKey));
        if (refreshed === "changed") {
            events.emit("change");
        }
        if (refreshed === "failed") {
            candidacy.interrupt();
        } else if (!closed) {
            await candidacy.refresh();
            await acquireDue();
            runningHandover = handOverRequested();
            await runningHandover;
        }
        await sleep(Math.max(UNCONFIGURED_POLL_INTERVAL_MS, Math.min(pollIntervalMs(), candidacy.untilDueMs())));
    };

    const pollIntervalMs = (): number => {
        if (subjects().length === 0) {
            return UNCONFIGURED_POLL_INTERVAL_MS;
        }
        return heldLeases.size > 0 ? HOLDER_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    };

    const acquireDue = async (): Promise<void> => {
        const tried = new Set<string>();
        for (;;) {
            const due = candidacy.nextDue(tried);
            if (due === undefined || closed) {
                return;
            }
            tried.add(leaseKey(due.subject));
            runningAcquisition = acquire(due);
            await runningAcquisition;
        }
    };

    // The renewal shows that the store answers and which version the release has to expect.
    const handOverRequested = async (): Promise<void> => {
        const lease = [...heldLeases.values()].find(({ subject }) => candidacy.isRequested(subject));
        if (lease === undefined || !(await renew(lease)) || closed || lease.lost) {
            return;
        }
        await releaseLease(lease);
    };

    const renewAll = async (): Promise<void> => {
        await Promise.all([...heldLeases.values()].map(renew));
        await sleep(RENEW_INTERVAL_MS);
    };

    const releaseLease = async (lease: HeldLease): Promise<void> => {
        const key = leaseKey(lease.subject);
        // The next holder starts from this content. Completed evacuations are removed, because without a scheduler
        // nothing keeps the VMs empty.
        const content = { ...holder.content(lease), vacated: [] };
        heldLeases.delete(key);
        await holder.end(lease);
        lease.lost = true;
        // A renewal under way changes the version of the row.
        await runningRenewals.get(key);
        const record: LeaseRecord = {
            ...content,
            holder: undefined,
            process: undefined,
            epoch: lease.epoch,
            runNumbersUpTo: storedReservation(lease.subject, lease.runNumbers.reservedUpTo),
        };
        const released = await writeRelease({
            writer: context,
            key,
            epoch: lease.epoch,
            version: lease.version,
            value: encodeLease(record),
            mayBeTakenOver: () => leaseAgeMs(lease, context) >= POOL_LEASE_DURATION_MS,
        });
        context.log(released ? "lease-given-up" : "lease-not-released", { lease: key, epoch: lease.epoch });
    };

    const releaseAll = (): Promise<unknown> => Promise.all([...heldLeases.values()].map(releaseLease));

    const isOpen = (): boolean => !closed;
    void repeatWhileActive({ context, part: "lease-poll", isActive: isOpen, step: poll });
    void repeatWhileActive({ context, part: "lease-renewal", isActive: isOpen, step: renewAll });
    return {
        events,
        renew,
        lastRecord: subject => view.observation(leaseKey(subject))?.record,
        freshRecord: (subject, maxAgeMs) => {
            const observation = view.observation(leaseKey(subject));
            return observation !== undefined &&
                observation.unchangedMs <= maxAgeMs &&
                monotonicMs() - observation.readAtMs <= maxAgeMs
                ? observation.record
                : undefined;
        },
        close: async () => {
            closed = true;
            await Promise.all([
                candidacy.withdraw(),
                releaseAll(),
                runningAcquisition?.then(releaseAll),
                runningHandover,
            ]);
        },
    };
};
