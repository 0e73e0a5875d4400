import type { RequestId } from "@almondusher/fleet/ids";
import { type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { PoolCapacity, Taken } from "./admission-options.js";
import {
    type Admission,
    type SlotKind,
    forgetIdleTeam,
    type TeamQueues,
    teamOf,
    type Waiting,
} from "./admission-state.js";
import { firstRequest, type WaitingRequest } from "./deadline-queue.js";
import { entitlementOf } from "./eligibility.js";
import { findOverdueLoans } from "./loans.js";
import { dequeue, start } from "./queue-moves.js";
import { currentMember, type Ring, rotateRing } from "./ring.js";

/** Starts requests that wait while slots are free, and drops those whose deadline has passed. */
export const takeNext = (admission: Admission, capacity: PoolCapacity, now: number): Taken => {
    const overdue = findOverdueLoans(admission, now);
    const expired = dropExpired(admission, now);
    const started: RequestId[] = [];
    let free = capacity.free;
    let next = pickNext(admission, { ...capacity, free });
    while (next !== undefined) {
        dequeue(admission, next.waiting);
        start(admission, next.waiting.request, { now, slotKind: next.slotKind });
        started.push(next.waiting.request.id);
        free -= 1;
        next = pickNext(admission, { ...capacity, free });
    }
    return { started, expired, overdue };
};

interface Candidate {
    readonly urgency: Urgency;
    readonly slotKind: SlotKind;
    readonly turns: Ring<TeamQueues>;
}

interface Pick {
    readonly waiting: Waiting;
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
        forgetIdleTeam(admission, teamOf(admission, waiting.request.team));
        expired.push(first.id);
        first = firstRequest(admission.expiry);
    }
    return expired;
};

const pickNext = (admission: Admission, capacity: PoolCapacity): Pick | undefined => {
    if (capacity.free <= 0 || admission.waiting.size === 0) {
        return undefined;
    }
    const candidates = urgencies.flatMap(urgency => candidatesOf(admission, urgency, capacity));
    const timeOf = ({ urgency, slotKind }: Candidate): number => admission.classes[urgency].virtualTime[slotKind];
    const own = candidates.filter(candidate => candidate.slotKind === "own");
    const [first] = (own.length > 0 ? own : candidates).toSorted((left, right) => timeOf(left) - timeOf(right));
    return first === undefined ? undefined : takeTurn(admission, first);
};

const candidatesOf = (admission: Admission, urgency: Urgency, capacity: PoolCapacity): readonly Candidate[] => {
    const { teamsWaiting, teamsWithShort } = admission.classes[urgency];
    const anyKind = entitlementOf(admission, { urgency, mayBorrow: false }, capacity);
    if (anyKind !== "none" && currentMember(teamsWaiting) !== undefined) {
        return [{ urgency, slotKind: anyKind, turns: teamsWaiting }];
    }
    const shortKind = entitlementOf(admission, { urgency, mayBorrow: true }, capacity);
    return shortKind !== "none" && currentMember(teamsWithShort) !== undefined
        ? [{ urgency, slotKind: shortKind, turns: teamsWithShort }]
        : [];
};

const takeTurn = (admission: Admission, { urgency, slotKind, turns }: Candidate): Pick | undefined => {
    const queues = currentMember(turns);
    if (queues === undefined) {
        return undefined;
    }
    const short = firstRequest(queues.short);
    const isShortOnly = turns === admission.classes[urgency].teamsWithShort;
    const place = earlier(short, isShortOnly ? undefined : firstRequest(queues.long));
    rotateRing(turns);
    const waiting = place === undefined ? undefined : admission.waiting.get(place.id);
    return waiting === undefined ? undefined : { waiting, slotKind };
};

const earlier = (left: WaitingRequest | undefined, right: WaitingRequest | undefined): WaitingRequest | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return right.startBy < left.startBy ? right : left;
};
