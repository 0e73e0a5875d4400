import type { DispatcherContext } from "../process/dispatcher-context.js";
import { leaseKey, type LeaseSubject } from "./lease-rows.js";
import type { LeaseObservation, LeaseView } from "./lease-view.js";
import { beginWait, delayNextLog, type LongWait } from "../store/long-wait.js";
import { createValuePeriods } from "./value-periods.js";

/** Logs and counts the leases that no process seems to hold, which no holder can log. */
export interface LeaseAbsenceLog {
    /** Must be called every `ABSENCE_CHECK_INTERVAL_MS`, with the leases that this process does not hold. */
    readonly check: (subjects: readonly LeaseSubject[]) => void;
}

export interface LeaseAbsenceLogOptions {
    readonly context: Pick<DispatcherContext, "log" | "metrics" | "monotonicMs">;
    readonly view: Pick<LeaseView, "observation">;
}

/** A lease that this process does not hold, and since when its row has not changed. */
interface ObservedLease {
    readonly key: string;
    readonly observation: LeaseObservation | undefined;
    readonly wait: LongWait;
}

/** Time between two checks, in milliseconds. */
export const ABSENCE_CHECK_INTERVAL_MS = 1000;
// Longer than the duration of a lease, a poll and the time for which a lease is left to VMs that have precedence.
const FIRST_LOG_AFTER_MS = 5000;
const MAX_LINES_PER_CHECK = 5;

const reasonOf = (observation: LeaseObservation | undefined): string => {
    if (observation === undefined) {
        return "not-found";
    }
    if (observation.record === undefined) {
        return "unreadable";
    }
    return observation.record.holder === undefined ? "released" : "not-renewed";
};

/** Creates the log. An absence is logged after 5 s without a change of the row, and then whenever the time has doubled. */
export const createLeaseAbsenceLog = ({ context, view }: LeaseAbsenceLogOptions): LeaseAbsenceLog => {
    const versions = createValuePeriods<number>(context.monotonicMs);
    let waits: ReadonlyMap<string, LongWait> = new Map();

    const observe = (subject: LeaseSubject, nowMs: number): ObservedLease => {
        const key = leaseKey(subject);
        const observation = view.observation(key);
        versions.observe(key, observation?.version ?? 0);
        const sinceMs = versions.sinceMs(key) ?? nowMs;
        const known = waits.get(key);
        const wait = known?.sinceMs === sinceMs ? known : beginWait(sinceMs, FIRST_LOG_AFTER_MS);
        return { key, observation, wait };
    };
    const log = ({ key, observation, wait }: ObservedLease, nowMs: number): void => {
        delayNextLog(wait, nowMs);
        context.log("lease-without-holder", {
            lease: key,
            reason: reasonOf(observation),
            holder: observation?.record?.holder,
            waitedMs: Math.round(nowMs - wait.sinceMs),
            unreadMs: observation === undefined ? undefined : Math.round(nowMs - observation.readAtMs),
        });
    };
    return {
        check: subjects => {
            const nowMs = context.monotonicMs();
            const leases = subjects.map(subject => observe(subject, nowMs));
            waits = new Map(leases.map(({ key, wait }) => [key, wait]));
            const absent = leases.filter(({ wait }) => nowMs - wait.sinceMs >= FIRST_LOG_AFTER_MS);
            absent.forEach(() => context.metrics.count("leases_without_holder"));
            absent
                .filter(({ wait }) => wait.logAtMs <= nowMs)
                .slice(0, MAX_LINES_PER_CHECK)
                .forEach(lease => log(lease, nowMs));
        },
    };
};
