import type { DispatcherContext } from "./dispatcher-context.js";
import type { HeldBy } from "./lease-handover.js";
import { leaseKey, type LeaseSubject } from "./lease-rows.js";
import type { LeaseView } from "./lease-view.js";

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

/** A period in which a lease has the same holder. */
interface Tenure {
    readonly epoch: number;
    /** Monotonic time at which the period was first observed. */
    readonly sinceMs: number;
}

export const createLeaseTenures = ({ context, view }: LeaseTenuresOptions): LeaseTenures => {
    const tenures = new Map<string, Tenure>();
    return {
        track: subjects =>
            subjects.map(leaseKey).forEach(key => {
                const epoch = view.observation(key)?.record?.epoch;
                if (epoch !== undefined && tenures.get(key)?.epoch !== epoch) {
                    tenures.set(key, { epoch, sinceMs: context.monotonicMs() });
                }
            }),
        heldBy: subject => {
            const lease = leaseKey(subject);
            const holder = view.observation(lease)?.record?.holder;
            const tenure = tenures.get(lease);
            return holder === undefined || tenure === undefined
                ? undefined
                : { lease, holder, heldMs: context.monotonicMs() - tenure.sinceMs };
        },
    };
};
