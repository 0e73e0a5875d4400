import type { AdmissionRequest } from "./admission-options.js";
import {
    type Admission,
    type ClassState,
    type SlotKind,
    type RunningRequest,
    type TeamQueues,
    teamOf,
    type TeamState,
    type QueuedRequest,
} from "./admission-state.js";
import { backlogOf, pushRequest, removeRequest, type QueueItem } from "./deadline-queue.js";
import { addToRing, removeFromRing } from "./ring.js";
import { urgencies } from "@almondusher/fleet/urgency";

/** True if the expected run time is known and short enough for borrowing slots of other classes. */
export const isShortRequest = (admission: Admission, request: AdmissionRequest): boolean =>
    request.expectedRunMs !== undefined && request.expectedRunMs <= admission.limits.borrowRunTimeMs;

/**
 * Latest useful start time: the deadline minus the expected run time, but at most half of the time from arrival to
 * deadline is subtracted.
 */
export const startByOf = (request: AdmissionRequest): number =>
    request.deadlineAt - Math.min(request.expectedRunMs ?? 0, (request.deadlineAt - request.arrivedAt) / 2);

/** True while the team uses its whole quota on this entry. */
export const isAtQuota = (team: TeamState): boolean => team.running >= (team.quota?.entrySlots ?? Infinity);

export const enqueue = (admission: Admission, request: AdmissionRequest): void => {
    const queues = teamOf(admission, request.team).queues[request.urgency];
    const queueItem: QueueItem = {
        id: request.id,
        arrivedAt: request.arrivedAt,
        startBy: startByOf(request),
        runMs: expectedRunMsOf(admission, request),
        isShort: isShortRequest(admission, request),
        sequence: admission.nextSequence,
    };
    admission.nextSequence += 1;
    const state = admission.classes[request.urgency];
    if (state.queued === 0) {
        // A class earns no credit while its queue is empty; otherwise it would start ahead of the others for as long as
        // it had been idle.
        state.virtualTime.own = Math.max(state.virtualTime.own, admission.virtualNow.own);
        state.virtualTime.borrowed = Math.max(state.virtualTime.borrowed, admission.virtualNow.borrowed);
    }
    state.queued += 1;
    state.queuedShort += Number(queueItem.isShort);
    queues.team.queued += 1;
    pushRequest(queueItem.isShort ? queues.short : queues.long, queueItem);
    pushRequest(admission.expiry, queueItem);
    admission.waiting.set(request.id, { request, queueItem });
    updateRings(admission, queues);
};

/** Removes a request from anywhere in its queue, because it starts, has expired or was cancelled. */
export const dequeue = (admission: Admission, { request, queueItem }: QueuedRequest): void => {
    const queues = teamOf(admission, request.team).queues[request.urgency];
    admission.classes[request.urgency].queued -= 1;
    admission.classes[request.urgency].queuedShort -= Number(queueItem.isShort);
    queues.team.queued -= 1;
    removeRequest(queueItem.isShort ? queues.short : queues.long, queueItem);
    removeRequest(admission.expiry, queueItem);
    admission.waiting.delete(request.id);
    updateRings(admission, queues);
};

/** Assigns a slot to a request and charges its expected run time to its class. */
export const startRequest = (
    admission: Admission,
    request: AdmissionRequest,
    { now, slotKind }: { readonly now: number; readonly slotKind: SlotKind },
): void => {
    const state = admission.classes[request.urgency];
    const team = teamOf(admission, request.team);
    const chargedMs = expectedRunMsOf(admission, request);
    const virtualNow = Math.max(admission.virtualNow[slotKind], state.virtualTime[slotKind]);
    admission.virtualNow[slotKind] = virtualNow;
    chargeClass(admission, { request, slotKind }, chargedMs);
    state.running += 1;
    const isShort = isShortRequest(admission, request);
    countOwnRunning(state, { slotKind, isShort }, 1);
    team.running += 1;
    team.queues[request.urgency].running += 1;
    admission.running.set(request.id, { request, startedAt: now, chargedMs, slotKind, isShort, isOverdue: false });
    if (slotKind === "borrowed") {
        admission.borrowers.push(request.id);
    }
    updateTeamRings(admission, team);
};

/** Updates the counters of a class for a request that runs in one of its guaranteed slots. */
export const countOwnRunning = (
    state: ClassState,
    { slotKind, isShort }: Pick<RunningRequest, "slotKind" | "isShort">,
    change: 1 | -1,
): void => {
    if (slotKind === "own") {
        state.runningOwn += change;
        state.runningOwnShort += isShort ? change : 0;
    }
};

/** Adds a run time, divided by the share of the class, to the virtual time of the class for this kind of slot. */
export const chargeClass = (
    admission: Admission,
    { request, slotKind }: Pick<RunningRequest, "request" | "slotKind">,
    runMs: number,
): void => {
    const share = Math.max(MIN_SHARE, admission.limits.shares[request.urgency]);
    admission.classes[request.urgency].virtualTime[slotKind] += runMs / share;
};

/**
 * Adds the team to the round-robin rings of the classes in which it has queued requests, and removes it from the others;
 * a team at its quota is removed from all.
 */
export const updateTeamRings = (admission: Admission, team: TeamState): void =>
    urgencies.forEach(urgency => updateRings(admission, team.queues[urgency]));

// Lower bound that lets a class without a share use a few of the slots that other classes leave free.
const MIN_SHARE = 0.01;

const expectedRunMsOf = (admission: Admission, request: AdmissionRequest): number =>
    request.expectedRunMs ?? admission.classes[request.urgency].runTimes.actualMs;

const updateRings = (admission: Admission, queues: TeamQueues): void => {
    const state = admission.classes[queues.urgency];
    const hasShort = backlogOf(queues.short).count > 0;
    const hasLong = backlogOf(queues.long).count > 0;
    const mayStart = !isAtQuota(queues.team);
    const changeShortRing = mayStart && hasShort && queues.overdue === 0 ? addToRing : removeFromRing;
    const changeRing = mayStart && (hasShort || hasLong) ? addToRing : removeFromRing;
    changeShortRing(state.teamsWithShort, queues);
    changeRing(state.teamsWithQueued, queues);
};
