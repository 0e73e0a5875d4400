import type { AdmissionRequest } from "./admission-options.js";
import {
    type Admission,
    type ClassState,
    type SlotKind,
    type Running,
    type TeamQueues,
    teamOf,
    type TeamState,
    type Waiting,
} from "./admission-state.js";
import { backlogOf, pushRequest, removeRequest, type WaitingRequest } from "./deadline-queue.js";
import { addMember, removeMember } from "./ring.js";
import { urgencies } from "@almondusher/fleet/urgency";

/** True if the run time is known and short enough to borrow from other classes. */
export const isShortRequest = (admission: Admission, request: AdmissionRequest): boolean =>
    request.expectedRunMs !== undefined && request.expectedRunMs <= admission.limits.borrowRunTimeMs;

/** Latest time at which a start is still useful; a learned run time uses up at most half of the time allowed. */
export const startByOf = (request: AdmissionRequest): number =>
    request.deadlineAt - Math.min(request.expectedRunMs ?? 0, (request.deadlineAt - request.arrivedAt) / 2);

/** True while the team holds as many slots as its quota allows on this entry. */
export const isAtQuota = (team: TeamState): boolean => team.running >= (team.quota?.entrySlots ?? Infinity);

/** Puts a request into its queue. */
export const enqueue = (admission: Admission, request: AdmissionRequest): void => {
    const queues = teamOf(admission, request.team).queues[request.urgency];
    const place: WaitingRequest = {
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
        // A class without waiting requests earns no credit, or it would start alone for as long as it was idle.
        state.virtualTime.own = Math.max(state.virtualTime.own, admission.virtualNow.own);
        state.virtualTime.borrowed = Math.max(state.virtualTime.borrowed, admission.virtualNow.borrowed);
    }
    state.queued += 1;
    state.queuedShort += Number(place.isShort);
    queues.team.queued += 1;
    pushRequest(place.isShort ? queues.short : queues.long, place);
    pushRequest(admission.expiry, place);
    admission.waiting.set(request.id, { request, place });
    updateTurns(admission, queues);
};

/** Takes a request out of its queue. */
export const dequeue = (admission: Admission, { request, place }: Waiting): void => {
    const queues = teamOf(admission, request.team).queues[request.urgency];
    admission.classes[request.urgency].queued -= 1;
    admission.classes[request.urgency].queuedShort -= Number(place.isShort);
    queues.team.queued -= 1;
    removeRequest(place.isShort ? queues.short : queues.long, place);
    removeRequest(admission.expiry, place);
    admission.waiting.delete(request.id);
    updateTurns(admission, queues);
};

/** Lets a request hold a slot. */
export const start = (
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
    countOwn(state, { slotKind, isShort }, 1);
    team.running += 1;
    team.queues[request.urgency].running += 1;
    admission.running.set(request.id, { request, startedAt: now, chargedMs, slotKind, isShort, isOverdue: false });
    if (slotKind === "borrowed") {
        admission.loans.push(request.id);
    }
    updateTeamTurns(admission, team);
};

/** Counts a request that runs within the share of its class. */
export const countOwn = (
    state: ClassState,
    { slotKind, isShort }: Pick<Running, "slotKind" | "isShort">,
    change: 1 | -1,
): void => {
    if (slotKind === "own") {
        state.runningOwn += change;
        state.runningOwnShort += isShort ? change : 0;
    }
};

/** Adds slot time to the virtual time of a class. */
export const chargeClass = (
    admission: Admission,
    { request, slotKind }: Pick<Running, "request" | "slotKind">,
    runMs: number,
): void => {
    const share = Math.max(MIN_WEIGHT, admission.limits.shares[request.urgency]);
    admission.classes[request.urgency].virtualTime[slotKind] += runMs / share;
};

/** Gives the team a turn in each class in which it waits, unless it is at its quota. */
export const updateTeamTurns = (admission: Admission, team: TeamState): void =>
    urgencies.forEach(urgency => updateTurns(admission, team.queues[urgency]));

// A class without a share still gets a little of what the others leave.
const MIN_WEIGHT = 0.01;

const expectedRunMsOf = (admission: Admission, request: AdmissionRequest): number =>
    request.expectedRunMs ?? admission.classes[request.urgency].runTimes.actualMs;

const updateTurns = (admission: Admission, queues: TeamQueues): void => {
    const state = admission.classes[queues.urgency];
    const hasShort = backlogOf(queues.short).count > 0;
    const hasLong = backlogOf(queues.long).count > 0;
    const mayStart = !isAtQuota(queues.team);
    const changeShort = mayStart && hasShort && queues.overdue === 0 ? addMember : removeMember;
    const changeAny = mayStart && (hasShort || hasLong) ? addMember : removeMember;
    changeShort(state.teamsWithShort, queues);
    changeAny(state.teamsWaiting, queues);
};
