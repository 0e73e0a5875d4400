import { initialRunNumbers, nextToken } from "@almondusher/scheduler/run-numbers";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { POOL_LEASE_DURATION_MS, type HeldLease } from "./held-lease.js";
import {
    emptyLeaseContent,
    encodeLease,
    leaseKey,
    leaseRow,
    storedReservation,
    type LeaseRecord,
    type LeaseSubject,
} from "./lease-rows.js";
import { transactUntilKnown, versionIfOwn } from "./lease-transactions.js";
import type { LeaseObservation, LeaseView } from "./lease-view.js";
import { inheritedRunsUntilMs, type Takeover } from "../executors/run-leases.js";
import { marksAfter } from "../executors/unread-executors.js";

export interface LeaseAcquisition {
    readonly context: DispatcherContext;
    readonly view: LeaseView;
    readonly subject: LeaseSubject;
}

/** Acquires a lease on condition that its row is still as last read; undefined if it is not, or if the outcome is unknown. */
export const acquireLease = async ({ context, view, subject }: LeaseAcquisition): Promise<HeldLease | undefined> => {
    const key = leaseKey(subject);
    const observation = view.observation(key);
    const epoch = nextEpoch(subject, observation);
    const runNumbers = initialRunNumbers(epoch);
    const renewedAtMs = context.monotonicMs();
    const renewedWallMs = Date.now();
    const takeover = takeoverOf(context, observation);
    const runsUntilMs = inheritedRunsUntilMs(takeover, context.store.nowMs());
    const record: LeaseRecord = {
        ...(takeover.predecessor ?? emptyLeaseContent),
        executors: marksAfter(takeover.predecessor?.executors ?? [], takeover.unrenewedMs),
        // Nothing keeps the VMs empty until this holder has read which ones are being evacuated.
        vacated: [],
        inheritedRunsUntilMs: runsUntilMs,
        schedulerStatus: subject.kind === "pool" ? "starting" : undefined,
        holder: context.vm,
        process: context.process,
        epoch,
        runNumbersUpTo: storedReservation(subject, runNumbers.reservedUpTo),
    };
    const commit = await transactUntilKnown({
        writer: context,
        transaction: {
            expect: [{ ...leaseRow(key), version: observation?.version ?? 0 }],
            writes: [{ ...leaseRow(key), value: encodeLease(record) }],
        },
        endMs: renewedAtMs + POOL_LEASE_DURATION_MS,
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
    return version === undefined
        ? undefined
        : {
              subject,
              epoch,
              runNumbers,
              ...takeover,
              inheritedRunsUntilMs: runsUntilMs,
              renewedAtMs,
              renewedWallMs,
              version,
              lost: false,
          };
};

const nextEpoch = (subject: LeaseSubject, observation: LeaseObservation | undefined): number => {
    if (observation === undefined) {
        return 1;
    }
    // Each acquisition and each reservation of run numbers increases the version of the row, so the version of an unreadable
    // row stands for the token.
    const { record = { epoch: observation.version, runNumbersUpTo: undefined } } = observation;
    return subject.kind === "pool" ? nextToken(record) : record.epoch + 1;
};

const takeoverOf = ({ vm }: DispatcherContext, observation: LeaseObservation | undefined): Takeover => {
    const predecessor = observation?.record;
    return {
        predecessor,
        predecessorEnded:
            observation === undefined ||
            (predecessor !== undefined && (predecessor.holder === undefined || predecessor.holder === vm)),
        unrenewedMs: observation?.unchangedMs ?? 0,
    };
};
