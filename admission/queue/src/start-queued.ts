import type { RequestId } from "@almondusher/fleet/ids";
import { type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { PoolCapacity, SchedulingResult } from "./admission-options.js";
import {
    type Admission,
    type SlotKind,
    removeIdleTeam,
    type TeamQueues,
    teamOf,
    type QueuedRequest,
} from "./admission-state.js";
import { firstRequest, type QueueItem } from "./deadline-queue.js";
import { eligibleSlotKind } from "./eligibility.js";
import { markOverdueBorrowers } from "./overdue-borrowers.js";
import { dequeue, startRequest } from "./queue-operations.js";
import { currentMember, type Ring, rotateRing } from "./ring.js";

/** Starts queued requests while slots are free, and removes those that can no longer start in time. */
export const startQueued = (admission: Admission, capacity: PoolCapacity, now: number): SchedulingResult => {
    const overdue = markOverdueBorrowers(admission, now);
    const expired = dropExpired(admission, now);
    const started: RequestId[] = [];
    let free = capacity.free;
    let next = selectNext(admission, { ...capacity, free });
    while (next !== undefined) {
        dequeue(admission, next.waiting);
        startRequest(admission, next.waiting.request, { now, slotKind: next.slotKind });
        started.push(next.waiting.request.id);
        free -= 1;
        next = selectNext(admission, { ...capacity, free });
    }
    return { started, expired, overdue };
};

interface Candidate {
    readonly urgency: Urgency;
    readonly slotKind: SlotKind;
    readonly ring: Ring<TeamQueues>;
}

interface Selection {
    readonly waiting: QueuedRequest;
    readonly slotKind: SlotKind;
}

const dropExpired = (admission: Admission, now: number): readonly RequestId[] => {
    const expired: RequestId[] = [];
    let first = firstRequest(admission.expiry);
    while (first !== undefined && first.startBy < now) {
        const waiting = admission.waiting.get(first.id);
        if (waiting === undefined) {
            break;
        }
        dequeue(admission, waiting);
        removeIdleTeam(admission, teamOf(admission, waiting.request.team));
        expired.push(first.id);
        first = firstRequest(admission.expiry);
    }
    return expired;
};

const selectNext = (admission: Admission, capacity: PoolCapacity): Selection | undefined => {
    if (capacity.free <= 0 || admission.waiting.size === 0) {
        return undefined;
    }
    const candidates = urgencies.flatMap(urgency => candidatesOf(admission, urgency, capacity));
    const timeOf = ({ urgency, slotKind }: Candidate): number => admission.classes[urgency].virtualTime[slotKind];
    const own = candidates.filter(candidate => candidate.slotKind === "own");
    const [first] = (own.length > 0 ? own : candidates).toSorted((left, right) => timeOf(left) - timeOf(right));
    return first === undefined ? undefined : selectFromRing(admission, first);
};

const candidatesOf = (admission: Admission, urgency: Urgency, capacity: PoolCapacity): readonly Candidate[] => {
    const { teamsWithQueued, teamsWithShort } = admission.classes[urgency];
    const anySlotKind = eligibleSlotKind(admission, { urgency, mayBorrow: false }, capacity);
    if (anySlotKind !== "none" && currentMember(teamsWithQueued) !== undefined) {
        return [{ urgency, slotKind: anySlotKind, ring: teamsWithQueued }];
    }
    const shortSlotKind = eligibleSlotKind(admission, { urgency, mayBorrow: true }, capacity);
    return shortSlotKind !== "none" && currentMember(teamsWithShort) !== undefined
        ? [{ urgency, slotKind: shortSlotKind, ring: teamsWithShort }]
        : [];
};

const selectFromRing = (admission: Admission, { urgency, slotKind, ring }: Candidate): Selection | undefined => {
    const queues = currentMember(ring);
    if (queues === undefined) {
        return undefined;
    }
    const short = firstRequest(queues.short);
    const isShortOnly = ring === admission.classes[urgency].teamsWithShort;
    const queueItem = earlier(short, isShortOnly ? undefined : firstRequest(queues.long));
    rotateRing(ring);
    const waiting = queueItem === undefined ? undefined : admission.waiting.get(queueItem.id);
    return waiting === undefined ? undefined : { waiting, slotKind };
};

const earlier = (left: QueueItem | undefined, right: QueueItem | undefined): QueueItem | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return right.startBy < left.startBy ? right : left;
};
