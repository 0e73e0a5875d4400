import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { HeldBy } from "./lease-handover.js";
import { leaseKey, type LeaseSubject } from "./lease-rows.js";
import type { LeaseView } from "./lease-view.js";
import { createValuePeriods } from "./value-periods.js";

/** Observes for how long each lease has had the same holder. */
export interface LeaseTenures {
    /** Notes new holders; called after each read of the leases. */
    readonly track: (subjects: readonly LeaseSubject[]) => void;
    /** Returns the holder of a lease; undefined if none is known. */
    readonly heldBy: (subject: LeaseSubject) => HeldBy | undefined;
}

export interface LeaseTenuresOptions {
    readonly context: Pick<DispatcherContext, "monotonicMs">;
    readonly view: Pick<LeaseView, "observation">;
}

export const createLeaseTenures = ({ context, view }: LeaseTenuresOptions): LeaseTenures => {
    const epochs = createValuePeriods<number>(context.monotonicMs);
    return {
        track: subjects =>
            subjects.map(leaseKey).forEach(key => {
                const epoch = view.observation(key)?.record?.epoch;
                if (epoch !== undefined) {
                    epochs.observe(key, epoch);
                }
            }),
        heldBy: subject => {
            const lease = leaseKey(subject);
            const record = view.observation(lease)?.record;
            const holder = record?.holder;
            const sinceMs = epochs.sinceMs(lease);
            return holder === undefined || sinceMs === undefined
                ? undefined
                : {
                      lease,
                      holder,
                      heldMs: context.monotonicMs() - sinceMs,
                      schedulerStatus: record?.schedulerStatus,
                      pendingJobs: (record?.pending ?? []).reduce((sum, { jobs }) => sum + jobs, 0),
                  };
        },
    };
};
