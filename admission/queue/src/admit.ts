import type {
    AdmissionRejectionCause,
    AdmissionRequest,
    AdmissionDecision,
    PoolCapacity,
} from "./admission-options.js";
import { type Admission, removeIdleTeam, type TeamQueues, teamOf } from "./admission-state.js";
import { eligibleSlotKind } from "./eligibility.js";
import { serviceIntervalMs, expectedWaitMs, queuedOf } from "./expected-wait.js";
import { enqueue, isAtQuota, isShortRequest, startRequest, startByOf } from "./queue-operations.js";

// A pool without slots gets some again only after a VM has been rebooted or moved to it.
const NO_CAPACITY_RETRY_MS = 5_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 600_000;

/** Decides on a new request; after the decision `start` it holds a slot. */
export const admit = (admission: Admission, request: AdmissionRequest, capacity: PoolCapacity): AdmissionDecision => {
    const team = teamOf(admission, request.team);
    const queues = team.queues[request.urgency];
    const decision = decide(admission, request, { queues, capacity });
    if (decision.kind === "queued") {
        enqueue(admission, request);
    }
    removeIdleTeam(admission, team);
    return decision;
};

interface DecisionContext {
    readonly queues: TeamQueues;
    readonly capacity: PoolCapacity;
}

const decide = (admission: Admission, request: AdmissionRequest, context: DecisionContext): AdmissionDecision => {
    const { queues, capacity } = context;
    if (capacity.pool <= 0) {
        return { kind: "rejected", cause: "no-capacity", retryAfterMs: NO_CAPACITY_RETRY_MS };
    }
    if (queues.team.quota?.poolSlots === 0) {
        return { kind: "rejected", cause: "quota", retryAfterMs: MAX_RETRY_MS };
    }
    if (tryStart(admission, request, context)) {
        return { kind: "start" };
    }
    const waitMs = expectedWaitMs(admission, queues, startByOf(request), capacity);
    if (!hasQueueRoom(admission, queues)) {
        return reject(admission, request, { context, cause: "queue-full", waitMs });
    }
    const lateMs = request.arrivedAt + waitMs - startByOf(request);
    return lateMs > 0 ? reject(admission, request, { context, cause: "deadline", waitMs: lateMs }) : { kind: "queued" };
};

const tryStart = (admission: Admission, request: AdmissionRequest, { queues, capacity }: DecisionContext): boolean => {
    const mayBorrow = isShortRequest(admission, request) && queues.overdue === 0;
    const state = admission.classes[request.urgency];
    const eligibleKind = eligibleSlotKind(admission, { urgency: request.urgency, mayBorrow }, capacity);
    const ring = eligibleKind === "own" ? state.teamsWithQueued : state.teamsWithShort;
    if (eligibleKind === "none" || isAtQuota(queues.team) || ring.links.size > 0) {
        return false;
    }
    startRequest(admission, request, { now: request.arrivedAt, slotKind: eligibleKind });
    return true;
};

// A team may queue at most as many requests as the class can still queue, so that one team alone cannot fill the queue.
const hasQueueRoom = (admission: Admission, queues: TeamQueues): boolean => {
    const room = admission.limits.maxQueued[queues.urgency] - admission.classes[queues.urgency].queued;
    return room > 0 && queuedOf(queues) < Math.max(1, room);
};

interface Rejection {
    readonly context: DecisionContext;
    readonly cause: "queue-full" | "deadline";
    /** Time after which a request like this one would be accepted if no other caller retried. */
    readonly waitMs: number;
}

const reject = (admission: Admission, request: AdmissionRequest, rejection: Rejection): AdmissionDecision => {
    const { queues, capacity } = rejection.context;
    const state = admission.classes[request.urgency];
    // Each rejected caller gets its own retry time, one service interval after the previous one; callers that all
    // retried at once would be rejected again.
    const earliest = Math.max(request.arrivedAt + rejection.waitMs, state.nextRetryAt);
    state.nextRetryAt = Math.min(
        earliest + serviceIntervalMs(admission, queues, capacity),
        request.arrivedAt + MAX_RETRY_MS,
    );
    const cause: AdmissionRejectionCause = isAtQuota(queues.team) ? "quota" : rejection.cause;
    const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, earliest - request.arrivedAt));
    return { kind: "rejected", cause, retryAfterMs: Math.round(retryAfterMs) };
};
