import type { AdmissionCause, AdmissionRequest, Offer, PoolCapacity } from "./admission-options.js";
import { type Admission, forgetIdleTeam, type TeamQueues, teamOf } from "./admission-state.js";
import { entitlementOf } from "./eligibility.js";
import { drainIntervalMs, expectedWaitMs, queuedOf } from "./expected-wait.js";
import { enqueue, isAtQuota, isShortRequest, start, startByOf } from "./queue-moves.js";

// A pool without slots gets them back after a reboot or a move at the earliest.
const NO_CAPACITY_RETRY_MS = 5_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 600_000;

/** Decides on a new request; `start` means that it holds a slot from now on. */
export const offer = (admission: Admission, request: AdmissionRequest, capacity: PoolCapacity): Offer => {
    const team = teamOf(admission, request.team);
    const queues = team.queues[request.urgency];
    const decision = decide(admission, request, { queues, capacity });
    if (decision.kind === "queued") {
        enqueue(admission, request);
    }
    forgetIdleTeam(admission, team);
    return decision;
};

interface Situation {
    readonly queues: TeamQueues;
    readonly capacity: PoolCapacity;
}

const decide = (admission: Admission, request: AdmissionRequest, situation: Situation): Offer => {
    const { queues, capacity } = situation;
    if (capacity.pool <= 0) {
        return { kind: "rejected", cause: "no-capacity", retryAfterMs: NO_CAPACITY_RETRY_MS };
    }
    if (queues.team.quota?.poolSlots === 0) {
        return { kind: "rejected", cause: "quota", retryAfterMs: MAX_RETRY_MS };
    }
    if (startNow(admission, request, situation)) {
        return { kind: "start" };
    }
    const waitMs = expectedWaitMs(admission, queues, startByOf(request), capacity);
    if (!hasRoom(admission, queues)) {
        return reject(admission, request, { situation, cause: "queue-full", waitMs });
    }
    const lateMs = request.arrivedAt + waitMs - startByOf(request);
    return lateMs > 0
        ? reject(admission, request, { situation, cause: "deadline", waitMs: lateMs })
        : { kind: "queued" };
};

const startNow = (admission: Admission, request: AdmissionRequest, { queues, capacity }: Situation): boolean => {
    const mayBorrow = isShortRequest(admission, request) && queues.overdue === 0;
    const state = admission.classes[request.urgency];
    const entitlement = entitlementOf(admission, { urgency: request.urgency, mayBorrow }, capacity);
    const turns = entitlement === "own" ? state.teamsWaiting : state.teamsWithShort;
    if (entitlement === "none" || isAtQuota(queues.team) || turns.links.size > 0) {
        return false;
    }
    start(admission, request, { now: request.arrivedAt, slotKind: entitlement });
    return true;
};

// A team may fill at most what the queue of the class has left, so that one team alone never fills it.
const hasRoom = (admission: Admission, queues: TeamQueues): boolean => {
    const room = admission.limits.maxQueued[queues.urgency] - admission.classes[queues.urgency].queued;
    return room > 0 && queuedOf(queues) < Math.max(1, room);
};

interface Refusal {
    readonly situation: Situation;
    readonly cause: "queue-full" | "deadline";
    /** Time after which a request like this one would be accepted, if nobody else retried. */
    readonly waitMs: number;
}

const reject = (admission: Admission, request: AdmissionRequest, refusal: Refusal): Offer => {
    const { queues, capacity } = refusal.situation;
    const state = admission.classes[request.urgency];
    // Each rejected caller gets a time of its own, one drain interval after the one before; all at once would be
    // rejected again.
    const earliest = Math.max(request.arrivedAt + refusal.waitMs, state.retryAt);
    state.retryAt = Math.min(earliest + drainIntervalMs(admission, queues, capacity), request.arrivedAt + MAX_RETRY_MS);
    const cause: AdmissionCause = isAtQuota(queues.team) ? "quota" : refusal.cause;
    const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, earliest - request.arrivedAt));
    return { kind: "rejected", cause, retryAfterMs: Math.round(retryAfterMs) };
};
