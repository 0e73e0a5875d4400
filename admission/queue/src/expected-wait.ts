import type { PoolCapacity } from "./admission-options.js";
import type { Admission, TeamQueues } from "./admission-state.js";
import { backlogBefore, backlogOf } from "./deadline-queue.js";
import { guaranteedSlots } from "./eligibility.js";
import { correctionOf } from "./run-times.js";

/** Time until a request with the given deadline would start, in milliseconds. */
export const expectedWaitMs = (
    admission: Admission,
    queues: TeamQueues,
    startBy: number,
    capacity: PoolCapacity,
): number => {
    const state = admission.classes[queues.urgency];
    const { expectedMs } = state.runTimes;
    const short = backlogBefore(queues.short, startBy);
    const long = backlogBefore(queues.long, startBy);
    const ownCount = short.count + long.count;
    const ownRunMs = short.runMs + long.runMs;
    // Before this request starts, round-robin starts at most as many requests of every other team.
    const otherTeams = Math.max(0, state.teamsWaiting.links.size - (state.teamsWaiting.links.has(queues) ? 1 : 0));
    const otherCount = Math.min(state.queued - queuedOf(queues), (ownCount + 1) * otherTeams);
    const slots = slotsOf(admission, queues, capacity);
    const ownSlots = Math.max(1, Math.min(slots, queues.team.quota?.entrySlots ?? Infinity));
    const ownWaitMs = (ownRunMs + expectedMs) / ownSlots;
    const classWaitMs = (ownRunMs + (otherCount + 1) * expectedMs) / slots;
    return Math.max(ownWaitMs, classWaitMs) * correctionOf(state.runTimes);
};

/** Time in which the class works off one waiting request, in milliseconds. */
export const drainIntervalMs = (admission: Admission, queues: TeamQueues, capacity: PoolCapacity): number =>
    admission.classes[queues.urgency].runTimes.actualMs / slotsOf(admission, queues, capacity);

/** Requests of the team that wait in the class. */
export const queuedOf = (queues: TeamQueues): number => backlogOf(queues.short).count + backlogOf(queues.long).count;

// A class with requests that wait holds its guaranteed slots and those it could borrow.
const slotsOf = (admission: Admission, queues: TeamQueues, capacity: PoolCapacity): number => {
    const guaranteed = guaranteedSlots(admission.limits, capacity)[queues.urgency];
    return Math.max(1, guaranteed, admission.classes[queues.urgency].running);
};
