import { EventEmitter } from "node:events";
import { acquireLease } from "./acquire-lease.js";
import { createErrorReporter, repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { createCandidateView } from "./candidate-view.js";
import { FLEET_LEASE_DURATION_MS, POOL_LEASE_DURATION_MS, leaseAgeMs, type HeldLease } from "./held-lease.js";
import { ABSENCE_CHECK_INTERVAL_MS, createLeaseAbsenceLog } from "./lease-absence-log.js";
import { createLeaseCandidacy, type DueLease } from "./lease-candidacy.js";
import {
    encodeLease,
    leaseKey,
    storedReservation,
    type LeaseContent,
    type LeaseRecord,
    type LeaseSubject,
} from "./lease-rows.js";
import { createLeaseRenewals } from "./lease-renewals.js";
import { writeRelease } from "./lease-transactions.js";
import { createLeaseView, type LeaseObservation } from "./lease-view.js";
import { waitAtMost } from "../store/wait-at-most.js";

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
    /** True if another process should hold the lease, since this one has not been able to act under it for a long time. */
    readonly isStuck: (lease: HeldLease) => boolean;
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
// Rows of candidates only decide who takes a lease first. A poll that waited for them longer would make the time between two
// reads of the leases too long to count as time for which a lease is unchanged.
const MAX_CANDIDACY_WAIT_MS = 500;
// An acquisition goes on until its outcome is known or the lease would have expired again. A poll that waited for it would, as
// above, keep the other leases from expiring.
const MAX_ACQUISITION_WAIT_MS = 500;
// Time between the end of an acquisition and the next one of the same lease. The store may refuse all of them at once.
const ACQUISITION_PAUSE_MS = 200;

const hasExpired = (subject: LeaseSubject, { unchangedMs }: LeaseObservation): boolean =>
    unchangedMs >= (subject.kind === "fleet" ? FLEET_LEASE_DURATION_MS : POOL_LEASE_DURATION_MS);

/** Starts acquiring, renewing and observing leases. */
export const createLeaseManager = ({ context, subjects, holder }: LeaseManagerOptions): LeaseManager => {
    const { store, monotonicMs } = context;
    const heldLeases = new Map<string, HeldLease>();
    const candidates = createCandidateView(store);
    const view = createLeaseView({ store, candidates, monotonicMs });
    const absenceLog = createLeaseAbsenceLog({ context, view });
    const events = new EventEmitter();
    const reportAcquisitionError = createErrorReporter({ context, part: "lease-acquisition" });
    const reportCandidacyError = createErrorReporter({ context, part: "lease-candidacy" });
    let closed = false;
    /** Acquisitions that are under way or have ended a short time ago, by the key of the lease. */
    const recentAcquisitions = new Map<string, Promise<void>>();
    let runningHandover: Promise<void> | undefined;
    let runningCandidacy: Promise<void> | undefined;

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

    const isOpen = (): boolean => !closed;
    const renewals = createLeaseRenewals({
        context,
        view,
        holder,
        isHeld: lease => heldLeases.get(leaseKey(lease.subject)) === lease,
        isOpen,
        lost: handleLostLease,
    });

    const isAvailable = (subject: LeaseSubject): boolean => {
        const key = leaseKey(subject);
        // The holder of a lease whose row was not read may be alive.
        if (heldLeases.has(key) || !view.isFollowed(key)) {
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
        const lease = await acquireLease({ context, view, subject });
        if (lease === undefined) {
            candidacy.acquisitionFailed(subject);
        }
        // During a stop the lease is released at once, unless its previous holder may still act: releasing it would tell the
        // next holder that there is no such process.
        if (lease === undefined || (closed && !lease.predecessorEnded)) {
            return;
        }
        const key = leaseKey(subject);
        heldLeases.set(key, lease);
        context.log("lease-taken", {
            lease: key,
            epoch: lease.epoch,
            predecessor: lease.predecessor?.holder,
            unchangedMs: lease.unrenewedMs,
        });
        context.metrics.count("leases_taken");
        if (!closed) {
            holder.begin(lease);
        }
        void renewals.keepRenewed(lease);
        void candidates.remove(unresponsive).catch(reportCandidacyError);
    };

    const refreshCandidacy = (): Promise<void> => {
        runningCandidacy ??= candidacy
            .refresh()
            .catch(reportCandidacyError)
            .finally(() => (runningCandidacy = undefined));
        return runningCandidacy;
    };

    const poll = async (): Promise<void> => {
        const refreshed = await view.refresh(subjects().map(leaseKey));
        if (refreshed === "changed") {
            events.emit("change");
        }
        if (refreshed === "failed") {
            candidacy.interrupt();
        } else if (!closed) {
            await waitAtMost(refreshCandidacy(), MAX_CANDIDACY_WAIT_MS);
            await acquireDue();
            runningHandover = handOver();
            await runningHandover;
        }
        await sleep(
            Math.max(
                UNCONFIGURED_POLL_INTERVAL_MS,
                Math.min(pollIntervalMs(), candidacy.untilDueMs(new Set(recentAcquisitions.keys()))),
            ),
        );
    };

    const pollIntervalMs = (): number => {
        if (subjects().length === 0) {
            return UNCONFIGURED_POLL_INTERVAL_MS;
        }
        return heldLeases.size > 0 ? HOLDER_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    };

    const acquireDue = async (): Promise<void> => {
        const tried = new Set(recentAcquisitions.keys());
        const endMs = monotonicMs() + MAX_ACQUISITION_WAIT_MS;
        for (;;) {
            const due = candidacy.nextDue(tried);
            const remainingMs = endMs - monotonicMs();
            if (due === undefined || closed || remainingMs <= 0) {
                return;
            }
            tried.add(leaseKey(due.subject));
            await waitAtMost(startAcquisition(due), remainingMs);
        }
    };

    const startAcquisition = (due: DueLease): Promise<void> => {
        const key = leaseKey(due.subject);
        const running = acquire(due).catch(reportAcquisitionError);
        recentAcquisitions.set(key, running);
        void running.then(() => sleep(ACQUISITION_PAUSE_MS)).then(() => recentAcquisitions.delete(key));
        return running;
    };

    // The renewal shows that the store answers and which version the release has to expect.
    const handOver = async (): Promise<void> => {
        const leases = [...heldLeases.values()];
        const requested = leases.find(({ subject }) => candidacy.isRequested(subject));
        const lease = requested ?? leases.find(holder.isStuck);
        if (lease === undefined || !(await renewals.renew(lease)) || closed || lease.lost) {
            return;
        }
        // Its scheduler may have begun to start tasks since the row was written in which the request saw that it does not.
        if (requested !== undefined && !candidacy.isRequested(lease.subject)) {
            return;
        }
        if (requested === undefined) {
            candidacy.standAside(lease.subject);
            context.log("lease-stuck", { lease: leaseKey(lease.subject), epoch: lease.epoch });
            context.metrics.count("leases_stuck");
        }
        await releaseLease(lease);
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
        await renewals.untilEnded(lease);
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

    const checkAbsences = async (): Promise<void> => {
        absenceLog.check(subjects().filter(subject => !heldLeases.has(leaseKey(subject))));
        await sleep(ABSENCE_CHECK_INTERVAL_MS);
    };

    void repeatWhileActive({ context, part: "lease-poll", isActive: isOpen, step: poll });
    void repeatWhileActive({ context, part: "lease-absence", isActive: isOpen, step: checkAbsences });
    return {
        events,
        renew: renewals.renew,
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
                ...[...recentAcquisitions.values()].map(running => running.then(releaseAll)),
                runningHandover,
            ]);
        },
    };
};
