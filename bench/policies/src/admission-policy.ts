import type {
    AdmissionLimits,
    AdmissionRequest,
    Offer,
    PoolCapacity,
    Taken,
} from "@almondusher/admission/admission-options";
import { createAdmission } from "@almondusher/admission/admission-state";
import { type SlotDemand, slotDemandOf } from "@almondusher/admission/demand";
import { finish, putBack } from "@almondusher/admission/finish";
import { offer } from "@almondusher/admission/offer";
import { takeNext } from "@almondusher/admission/take-next";
import type { RequestId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";

/** Admission as the simulation drives it. */
export interface AdmissionPolicy {
    readonly offer: (request: AdmissionRequest, capacity: PoolCapacity) => Offer;
    readonly finish: (id: RequestId, now: number) => void;
    readonly putBack: (id: RequestId, now: number) => void;
    readonly takeNext: (capacity: PoolCapacity, now: number) => Taken;
    readonly demand: () => SlotDemand;
}

/** Classes with shares, as in production. */
export const classAdmission = (limits: AdmissionLimits): AdmissionPolicy => {
    const admission = createAdmission(limits);
    return {
        offer: (request, capacity) => offer(admission, request, capacity),
        finish: (id, now) => finish(admission, id, now),
        putBack: id => putBack(admission, id),
        takeNext: (capacity, now) => takeNext(admission, capacity, now),
        demand: () => slotDemandOf(admission),
    };
};

/** Baseline: one bounded queue, first in first out, without classes, teams or estimates. */
export const fifoAdmission = (maxQueued: number): AdmissionPolicy => {
    const running = new Map<RequestId, AdmissionRequest>();
    const waiting: AdmissionRequest[] = [];
    const countOf = (requests: Iterable<AdmissionRequest>): ByUrgency<number> => {
        const counts = { urgent: 0, normal: 0, deferrable: 0 };
        [...requests].forEach(request => (counts[request.urgency] += 1));
        return counts;
    };
    return {
        offer: (request, capacity) => {
            if (capacity.free > 0 && waiting.length === 0) {
                running.set(request.id, request);
                return { kind: "start" };
            }
            if (waiting.length >= maxQueued) {
                return { kind: "rejected", cause: "queue-full", retryAfterMs: 0 };
            }
            waiting.push(request);
            return { kind: "queued" };
        },
        finish: id => running.delete(id),
        putBack: id => {
            const request = running.get(id);
            if (request !== undefined) {
                running.delete(id);
                waiting.unshift(request);
            }
        },
        takeNext: (capacity, now) => takeFirst({ running, waiting }, capacity.free, now),
        demand: () => ({
            ownShort: countOf(running.values()),
            ownLong: countOf([]),
            borrowed: 0,
            queuedShort: countOf(waiting),
            queuedLong: countOf([]),
        }),
    };
};

interface Fifo {
    readonly running: Map<RequestId, AdmissionRequest>;
    readonly waiting: AdmissionRequest[];
}

const takeFirst = ({ running, waiting }: Fifo, free: number, now: number): Taken => {
    const started: RequestId[] = [];
    const expired: RequestId[] = [];
    while (waiting.length > 0 && started.length < free) {
        const request = waiting.shift();
        if (request !== undefined && request.deadlineAt < now) {
            expired.push(request.id);
        } else if (request !== undefined) {
            running.set(request.id, request);
            started.push(request.id);
        }
    }
    return { started, expired, overdue: [] };
};
