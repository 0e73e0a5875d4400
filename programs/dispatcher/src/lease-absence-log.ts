import type { DispatcherContext } from "./dispatcher-context.js";
import { leaseKey, type LeaseSubject } from "./lease-rows.js";
import type { LeaseObservation, LeaseView } from "./lease-view.js";
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

/** A lease whose row has not changed for a long time. */
interface Absence {
    readonly key: string;
    readonly observation: LeaseObservation | undefined;
    readonly waitedMs: number;
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
    let nextLogMs: ReadonlyMap<string, number> = new Map();

    const absenceOf = (subject: LeaseSubject): Absence => {
        const key = leaseKey(subject);
        const observation = view.observation(key);
        versions.observe(key, observation?.version ?? 0);
        const nowMs = context.monotonicMs();
        return { key, observation, waitedMs: nowMs - (versions.sinceMs(key) ?? nowMs) };
    };
    const log = ({ key, observation, waitedMs }: Absence): void =>
        context.log("lease-without-holder", {
            lease: key,
            reason: reasonOf(observation),
            holder: observation?.record?.holder,
            waitedMs: Math.round(waitedMs),
            unreadMs: observation === undefined ? undefined : Math.round(context.monotonicMs() - observation.readAtMs),
        });
    return {
        check: subjects => {
            const absences = subjects.map(absenceOf).filter(({ waitedMs }) => waitedMs >= FIRST_LOG_AFTER_MS);
            absences.forEach(() => context.metrics.count("leases_without_holder"));
            const due = absences
                .filter(({ key, waitedMs }) => waitedMs >= (nextLogMs.get(key) ?? FIRST_LOG_AFTER_MS))
                .slice(0, MAX_LINES_PER_CHECK);
            due.forEach(log);
            const delayed = new Map(due.map(({ key, waitedMs }) => [key, 2 * waitedMs]));
            nextLogMs = new Map(
                absences.map(({ key }) => [key, delayed.get(key) ?? nextLogMs.get(key) ?? FIRST_LOG_AFTER_MS]),
            );
        },
    };
};
