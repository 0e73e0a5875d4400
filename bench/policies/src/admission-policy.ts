import type {
    AdmissionLimits,
    AdmissionRequest,
    AdmissionDecision,
    PoolCapacity,
    SchedulingResult,
} from "@almondusher/admission/admission-options";
import { createAdmission } from "@almondusher/admission/admission-state";
import { type SlotDemand, slotDemandOf } from "@almondusher/admission/demand";
import { finish, requeue } from "@almondusher/admission/finish";
import { admit } from "@almondusher/admission/admit";
import { startQueued } from "@almondusher/admission/start-queued";
import type { RequestId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";

/** Admission control as called by the simulation. */
export interface AdmissionPolicy {
    readonly admit: (request: AdmissionRequest, capacity: PoolCapacity) => AdmissionDecision;
    readonly finish: (id: RequestId, now: number) => void;
    readonly requeue: (id: RequestId, now: number) => void;
    readonly startQueued: (capacity: PoolCapacity, now: number) => SchedulingResult;
    readonly demand: () => SlotDemand;
}

/** Production policy: urgency classes with shares of the slots. */
export const classAdmission = (limits: AdmissionLimits): AdmissionPolicy => {
    const admission = createAdmission(limits);
    return {
        admit: (request, capacity) => admit(admission, request, capacity),
        finish: (id, now) => finish(admission, id, now),
        requeue: id => requeue(admission, id),
        startQueued: (capacity, now) => startQueued(admission, capacity, now),
        demand: () => slotDemandOf(admission),
    };
};

/** Baseline: one bounded FIFO queue without classes, teams or run time estimates. */
export const fifoAdmission = (maxQueued: number): AdmissionPolicy => {
    const running = new Map<RequestId, AdmissionRequest>();
    const waiting: AdmissionRequest[] = [];
    const countOf = (requests: Iterable<AdmissionRequest>): ByUrgency<number> => {
        const counts = { urgent: 0, normal: 0, deferrable: 0 };
        [...requests].forEach(request => (counts[request.urgency] += 1));
        return counts;
    };
    return {
        admit: (request, capacity) => {
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
        requeue: id => {
            const request = running.get(id);
            if (request !== undefined) {
                running.delete(id);
                waiting.unshift(request);
            }
        },
        startQueued: (capacity, now) => startFirst({ running, waiting }, capacity.free, now),
        demand: () => ({
            ownShort: countOf(running.values()),
            ownLong: countOf([]),
            borrowed: 0,
            queuedShort: countOf(waiting),
            queuedLong: countOf([]),
        }),
    };
};

interface FifoState {
    readonly running: Map<RequestId, AdmissionRequest>;
    readonly waiting: AdmissionRequest[];
}

const startFirst = ({ running, waiting }: FifoState, free: number, now: number): SchedulingResult => {
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
