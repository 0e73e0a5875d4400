import type { PoolCapacity } from "./admission-options.js";
import type { Admission, TeamQueues } from "./admission-state.js";
import { backlogBefore, backlogOf } from "./deadline-queue.js";
import { guaranteedSlotsByClass } from "./eligibility.js";
import { estimateCorrection } from "./run-times.js";

/** Expected time until a request with the given latest start time would start, in milliseconds. */
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
    // Round-robin scheduling starts at most one request of each other team before each request of this team, including
    // this request.
    const otherTeams = Math.max(
        0,
        state.teamsWithQueued.links.size - (state.teamsWithQueued.links.has(queues) ? 1 : 0),
    );
    const otherCount = Math.min(state.queued - queuedOf(queues), (ownCount + 1) * otherTeams);
    const slots = slotsOf(admission, queues, capacity);
    const ownSlots = Math.max(1, Math.min(slots, queues.team.quota?.entrySlots ?? Infinity));
    const ownWaitMs = (ownRunMs + expectedMs) / ownSlots;
    const classWaitMs = (ownRunMs + (otherCount + 1) * expectedMs) / slots;
    return Math.max(ownWaitMs, classWaitMs) * estimateCorrection(state.runTimes);
};

/** Mean interval at which the class starts queued requests, in milliseconds. */
export const serviceIntervalMs = (admission: Admission, queues: TeamQueues, capacity: PoolCapacity): number =>
    admission.classes[queues.urgency].runTimes.actualMs / slotsOf(admission, queues, capacity);

/** Number of queued requests of the team in the class. */
export const queuedOf = (queues: TeamQueues): number => backlogOf(queues.short).count + backlogOf(queues.long).count;

// While requests are queued, a class uses its guaranteed slots and those that it has borrowed.
const slotsOf = (admission: Admission, queues: TeamQueues, capacity: PoolCapacity): number => {
    const guaranteed = guaranteedSlotsByClass(admission.limits, capacity)[queues.urgency];
    return Math.max(1, guaranteed, admission.classes[queues.urgency].running);
};
