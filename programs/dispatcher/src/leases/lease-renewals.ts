import type { Row } from "@almondusher/platform-adapter/table-store";
import { nextReservation } from "@almondusher/scheduler/run-numbers";
import { createErrorReporter, repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import type { HeldLease } from "./held-lease.js";
import {
    encodeLease,
    leaseKey,
    leaseRow,
    storedReservation,
    type LeaseContent,
    type LeaseRecord,
} from "./lease-rows.js";
import { versionIfOwn } from "./lease-transactions.js";
import type { LeaseView } from "./lease-view.js";

/** Renews the leases that this process holds. */
export interface LeaseRenewals {
    /** Renews a held lease immediately; resolves to false if the renewal failed. */
    readonly renew: (lease: HeldLease) => Promise<boolean>;
    /** Renews a lease at regular intervals, until it is no longer held or the leases are released. */
    readonly keepRenewed: (lease: HeldLease) => Promise<void>;
    /** Resolves once the last renewal of a lease that has begun has ended. */
    readonly untilEnded: (lease: HeldLease) => Promise<unknown>;
}

/** Callbacks for renewals. */
interface RenewedHolder {
    /** Returns the content to store with the next renewal. */
    readonly content: (lease: HeldLease) => LeaseContent;
    /** Called after a renewal, with the content that it stored. */
    readonly renewed: (lease: HeldLease, content: LeaseContent) => void;
}

export interface LeaseRenewalsOptions {
    readonly context: DispatcherContext;
    /** Gets the rows that renewals have stored. */
    readonly view: Pick<LeaseView, "observe">;
    readonly holder: RenewedHolder;
    readonly isHeld: (lease: HeldLease) => boolean;
    /** False once all leases are being released. */
    readonly isOpen: () => boolean;
    /** Called if a renewal shows that another process holds the lease. */
    readonly lost: (lease: HeldLease, reason: string) => Promise<void>;
}

const RENEW_INTERVAL_MS = 500;
// Further renewals without a known outcome are forgotten: if one of them was stored, the lease counts as renewed one renewal
// later.
const MAX_UNCONFIRMED_RENEWALS = 16;

/** A renewal as it was sent. */
interface SentRenewal {
    /** Encoded record. */
    readonly value: string;
    readonly content: LeaseContent;
    readonly reservation: number;
    readonly sentAtMs: number;
    readonly sentWallMs: number;
}

/** Creates the renewals; none is sent before `renew` or `keepRenewed`. */
export const createLeaseRenewals = ({
    context,
    view,
    holder,
    isHeld,
    isOpen,
    lost,
}: LeaseRenewalsOptions): LeaseRenewals => {
    const runningRenewals = new Map<string, Promise<boolean>>();
    const waitingRenewals = new Map<string, Promise<boolean>>();
    /** Renewals whose outcome is not known, all of which expect the current version of the lease row. */
    const unconfirmedRenewals = new WeakMap<HeldLease, readonly SentRenewal[]>();
    const reportError = createErrorReporter({ context, part: "lease-renewal" });

    const renewOnce = async (lease: HeldLease): Promise<boolean> => {
        const key = leaseKey(lease.subject);
        if (!isHeld(lease)) {
            return false;
        }
        const sentAtMs = context.monotonicMs();
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
        const commit = await context.store.transact({
            expect: [{ ...leaseRow(key), version: lease.version }],
            writes: [{ ...leaseRow(key), value }],
        });
        const renewal = { value, content, reservation, sentAtMs, sentWallMs };
        switch (commit.kind) {
            case "committed":
                acceptVersion(lease, commit.version);
                view.observe([{ ...leaseRow(key), value, version: commit.version, deleted: false }]);
                confirmRenewal(lease, renewal);
                return true;
            case "conflict":
                return resolveConflict(lease, commit.rows[0]);
            case "not-run":
            case "unknown":
                keepUnconfirmed(lease, renewal);
                return false;
            case "rejected":
                return false;
        }
    };

    // No renewal that expects an earlier version can be stored any more.
    const acceptVersion = (lease: HeldLease, version: number): void => {
        unconfirmedRenewals.delete(lease);
        lease.version = Math.max(lease.version, version);
    };

    const confirmRenewal = (lease: HeldLease, renewal: SentRenewal): void => {
        lease.renewedAtMs = renewal.sentAtMs;
        lease.renewedWallMs = renewal.sentWallMs;
        lease.runNumbers.reservedUpTo = renewal.reservation;
        holder.renewed(lease, renewal.content);
    };

    // Of renewals with the same value the first counts, since any of them may be the one that was stored.
    const keepUnconfirmed = (lease: HeldLease, renewal: SentRenewal): void => {
        const kept = unconfirmedRenewals.get(lease) ?? [];
        if (kept.length < MAX_UNCONFIRMED_RENEWALS && kept.every(({ value }) => value !== renewal.value)) {
            unconfirmedRenewals.set(lease, [...kept, renewal]);
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
                reportError(error);
                return false;
            });
            runningRenewals.set(key, running);
            return running;
        });
        waitingRenewals.set(key, next);
        return next;
    };

    // Each lease is renewed on its own: the store may leave calls for the part of one lease without an answer.
    const keepRenewed = (lease: HeldLease): Promise<void> =>
        repeatWhileActive({
            context,
            part: "lease-renewal",
            isActive: () => isOpen() && isHeld(lease),
            step: async () => {
                await sleep(RENEW_INTERVAL_MS);
                await renew(lease);
            },
        });

    // A conflict does not always mean that the lease is lost: an earlier renewal that was not answered may have been
    // applied, in which case the row still names this process. It counts from when it was sent, not as a recent one.
    const resolveConflict = async (lease: HeldLease, row: Row | undefined): Promise<boolean> => {
        const ownVersion = versionIfOwn(context, row, lease.epoch);
        if (ownVersion !== undefined) {
            const stored = unconfirmedRenewals.get(lease)?.find(({ value }) => value === row?.value);
            acceptVersion(lease, ownVersion);
            if (stored !== undefined) {
                confirmRenewal(lease, stored);
            }
            return false;
        }
        await lost(lease, "another process holds the lease");
        return false;
    };

    return {
        renew,
        keepRenewed,
        untilEnded: ({ subject }) => runningRenewals.get(leaseKey(subject)) ?? Promise.resolve(),
    };
};
