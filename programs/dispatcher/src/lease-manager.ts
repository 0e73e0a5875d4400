import { EventEmitter } from "node:events";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { acquisitionDelayMs } from "./acquisition-delay.js";
import {
    decodeLease,
    emptyLeaseContent,
    encodeLease,
    leaseKey,
    leaseRow,
    type LeaseContent,
    type LeaseRecord,
    type LeaseSubject,
} from "./lease-rows.js";
import { createLeaseView, type LeaseObservation } from "./lease-view.js";

/** A lease that this process holds. */
export interface HeldLease {
    readonly subject: LeaseSubject;
    /** Fencing token. */
    readonly epoch: number;
    /** The record of the former holder; undefined for the first one. */
    readonly predecessor: LeaseRecord | undefined;
    /** The former holder surely has ended: it was an earlier process of this VM, or it gave the lease up. */
    readonly predecessorEnded: boolean;
    /** Time for which the former holder was seen not to renew it, in milliseconds. */
    readonly unrenewedMs: number;
    /** Steady time at which the last confirmed renewal was sent, in milliseconds. */
    renewedAtMs: number;
    /** Unix time at that moment in milliseconds. */
    renewedWallMs: number;
    version: number;
    lost: boolean;
}

/** What to do with a lease. */
export interface LeaseCallbacks {
    /** Called after the lease was acquired. */
    readonly onAcquired: (lease: HeldLease) => void;
    /** Called after the lease was lost or before it is given up; resolves when nothing more is sent under it. */
    readonly onEnded: (lease: HeldLease) => Promise<void>;
    /** What the next renewal stores. */
    readonly content: (lease: HeldLease) => LeaseContent;
    /** Called after a renewal that stored the content. */
    readonly onRenewed: (lease: HeldLease, content: LeaseContent) => void;
}

/** Leases of this process and what is seen of the others. */
export interface LeaseManager {
    /** The record of a lease if it was renewed within the given time. */
    readonly freshRecord: (subject: LeaseSubject, withinMs: number) => LeaseRecord | undefined;
    /** The record of a lease as last read, of whatever age. */
    readonly lastRecord: (subject: LeaseSubject) => LeaseRecord | undefined;
    /** Emits `change` when a lease was seen with new content. */
    readonly events: EventEmitter;
    /** Renews a held lease now; false if that failed. */
    readonly renew: (lease: HeldLease) => Promise<boolean>;
    /** Gives all leases up. */
    readonly close: () => Promise<void>;
}

/** Options of the keeper. */
export interface LeaseManagerOptions {
    readonly context: DispatcherContext;
    readonly subjects: () => readonly LeaseSubject[];
    readonly callbacks: LeaseCallbacks;
}

const POLL_INTERVAL_MS = 400;
// The fleet manager and the schedulers answer to each other's leases: what pools need, and which VMs to vacate.
const HOLDER_POLL_INTERVAL_MS = 120;
// Until the configuration tells which leases there are, so that a restarted process finds its own at once.
const UNCONFIGURED_POLL_INTERVAL_MS = 20;
const RENEW_INTERVAL_MS = 500;
// Unchanged this long, a lease may be taken over.
export const POOL_LEASE_DURATION_MS = 2000;
// The platform expects holders that take turns at one VM to be this far apart at least.
const FLEET_LEASE_DURATION_MS = 3300;

/**
 * Time since a lease was surely held, in milliseconds.
 * The steady clock stops while a VM is suspended, so the time of day counts too; a jump of it only makes holders wait for a renewal.
 */
export const leaseAgeMs = ({ renewedAtMs, renewedWallMs }: HeldLease, context: DispatcherContext): number =>
    Math.max(context.monotonicMs() - renewedAtMs, Date.now() - renewedWallMs);

/** Acquires, renews and observes leases. */
export const createLeaseManager = ({ context, subjects, callbacks }: LeaseManagerOptions): LeaseManager => {
    const { store, monotonicMs } = context;
    const held = new Map<string, HeldLease>();
    const view = createLeaseView({ store, monotonicMs });
    const runningRenewals = new Map<string, Promise<boolean>>();
    const waitingRenewals = new Map<string, Promise<boolean>>();
    const events = new EventEmitter();
    let closed = false;

    const handleLostLease = async (lease: HeldLease, reason: string): Promise<void> => {
        if (lease.lost) {
            return;
        }
        lease.lost = true;
        held.delete(leaseKey(lease.subject));
        context.log("lease-lost", { lease: leaseKey(lease.subject), epoch: lease.epoch, reason });
        context.metrics.count("leases_lost");
        await callbacks.onEnded(lease);
    };

    const renewOnce = async (lease: HeldLease): Promise<boolean> => {
        if (lease.lost) {
            return false;
        }
        const sentAtMs = monotonicMs();
        const sentWallMs = Date.now();
        const key = leaseKey(lease.subject);
        const content = callbacks.content(lease);
        const record: LeaseRecord = { ...content, holder: context.vm, process: context.process, epoch: lease.epoch };
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
                callbacks.onRenewed(lease, content);
                return true;
            case "conflict":
                return resolveConflict(lease, commit.rows[0]);
            case "not-run":
            case "unknown":
                return false;
        }
    };

    // One renewal at a time, since each expects the version that the one before it made; waiting calls share the next.
    const renew = (lease: HeldLease): Promise<boolean> => {
        const key = leaseKey(lease.subject);
        const waiting = waitingRenewals.get(key);
        if (waiting !== undefined) {
            return waiting;
        }
        const next = (runningRenewals.get(key) ?? Promise.resolve(false)).then(() => {
            waitingRenewals.delete(key);
            const running = renewOnce(lease);
            runningRenewals.set(key, running);
            return running;
        });
        waitingRenewals.set(key, next);
        return next;
    };

    // An earlier renewal without an answer may have been applied; the row then still names this process.
    const resolveConflict = async (lease: HeldLease, row: Row | undefined): Promise<boolean> => {
        const record = row === undefined ? undefined : decodeLease(row.value);
        if (row !== undefined && record?.process === context.process && record.epoch === lease.epoch) {
            lease.version = Math.max(lease.version, row.version);
            return false;
        }
        await handleLostLease(lease, "another process holds it");
        return false;
    };

    const isAcquirable = (subject: LeaseSubject, observation: LeaseObservation | undefined): boolean => {
        if (observation?.record?.holder === undefined) {
            return true;
        }
        if (observation.record.holder === context.vm && observation.record.process !== context.process) {
            return true;
        }
        return observation.unchangedMs >= (subject.kind === "fleet" ? FLEET_LEASE_DURATION_MS : POOL_LEASE_DURATION_MS);
    };

    const acquire = async (subject: LeaseSubject): Promise<void> => {
        const key = leaseKey(subject);
        const before = view.observation(key);
        const predecessor = before?.record;
        const epoch = (predecessor?.epoch ?? 0) + 1;
        const sentAtMs = monotonicMs();
        const sentWallMs = Date.now();
        const record: LeaseRecord = {
            ...(predecessor ?? emptyLeaseContent),
            holder: context.vm,
            process: context.process,
            epoch,
        };
        const commit = await store.transact({
            expect: [{ ...leaseRow(key), version: before?.version ?? 0 }],
            writes: [{ ...leaseRow(key), value: encodeLease(record) }],
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
        if (version === undefined || closed) {
            return;
        }
        const lease: HeldLease = {
            subject,
            epoch,
            predecessor,
            predecessorEnded:
                predecessor === undefined || predecessor.holder === undefined || predecessor.holder === context.vm,
            unrenewedMs: before?.unchangedMs ?? 0,
            renewedAtMs: sentAtMs,
            renewedWallMs: sentWallMs,
            version,
            lost: false,
        };
        held.set(key, lease);
        context.log("lease-taken", {
            lease: key,
            epoch,
            predecessor: predecessor?.holder,
            unchangedMs: lease.unrenewedMs,
        });
        context.metrics.count("leases_taken");
        callbacks.onAcquired(lease);
    };

    const poll = async (): Promise<void> => {
        while (!closed) {
            const refreshed = await view.refresh(subjects().map(leaseKey));
            if (refreshed === "changed") {
                events.emit("change");
            }
            if (refreshed !== "failed") {
                await acquireOne();
            }
            await sleep(pollIntervalMs());
        }
    };

    const pollIntervalMs = (): number => {
        if (subjects().length === 0) {
            return UNCONFIGURED_POLL_INTERVAL_MS;
        }
        return held.size > 0 ? HOLDER_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    };

    const acquireOne = async (): Promise<void> => {
        const free = subjects().filter(
            subject => !held.has(leaseKey(subject)) && isAcquirable(subject, view.observation(leaseKey(subject))),
        );
        const subject = free[Math.floor(Math.random() * free.length)];
        if (subject === undefined) {
            return;
        }
        await sleep(
            acquisitionDelayMs({
                record: view.observation(leaseKey(subject))?.record,
                vm: context.vm,
                heldLeases: held.size,
                processorCores: context.settings.processorCores,
            }),
        );
        if (!closed) {
            await acquire(subject);
        }
    };

    const renewPeriodically = async (): Promise<void> => {
        while (!closed) {
            await Promise.all([...held.values()].map(renew));
            await sleep(RENEW_INTERVAL_MS);
        }
    };

    const releaseLease = async (lease: HeldLease): Promise<void> => {
        const key = leaseKey(lease.subject);
        // The successor needs what is known now; nothing is vacated once nobody holds VMs empty.
        const content = { ...callbacks.content(lease), vacated: [] };
        lease.lost = true;
        await callbacks.onEnded(lease);
        await store.transact({
            expect: [{ ...leaseRow(key), version: lease.version }],
            writes: [
                {
                    ...leaseRow(key),
                    value: encodeLease({ ...content, holder: undefined, process: undefined, epoch: lease.epoch }),
                },
            ],
        });
        context.log("lease-given-up", { lease: key, epoch: lease.epoch });
    };

    void poll();
    void renewPeriodically();
    return {
        events,
        renew,
        lastRecord: subject => view.observation(leaseKey(subject))?.record,
        freshRecord: (subject, withinMs) => {
            const observation = view.observation(leaseKey(subject));
            return observation !== undefined &&
                observation.unchangedMs <= withinMs &&
                monotonicMs() - observation.readAtMs <= withinMs
                ? observation.record
                : undefined;
        },
        close: async () => {
            closed = true;
            await Promise.all([...held.values()].map(releaseLease));
        },
    };
};

const versionIfOwn = (context: DispatcherContext, row: Row | undefined, epoch: number): number | undefined => {
    const record = row === undefined ? undefined : decodeLease(row.value);
    return row !== undefined && record?.process === context.process && record.epoch === epoch ? row.version : undefined;
};
