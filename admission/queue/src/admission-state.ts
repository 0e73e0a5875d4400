import type { RequestId, TeamName } from "@almondusher/fleet/ids";
import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, AdmissionRequest, TeamQuota } from "./admission-options.js";
import { createDeadlineQueue, type DeadlineQueue, type QueueItem } from "./deadline-queue.js";
import { createRing, type Ring } from "./ring.js";
import { createRunTimes, type RunTimes } from "./run-times.js";

/** Kind of slot that a request may take now, if any. */
export type EligibleSlotKind = SlotKind | "none";

/** `own` is a guaranteed slot of the request's class, `borrowed` any other slot. */
export type SlotKind = keyof VirtualTimes;

/** Admission state of one pool on one entry; modified only by the functions of this package. */
export interface Admission {
    limits: AdmissionLimits;
    readonly classes: ByUrgency<ClassState>;
    readonly teams: Map<TeamName, TeamState>;
    readonly waiting: Map<RequestId, QueuedRequest>;
    readonly running: Map<RequestId, RunningRequest>;
    /** Queued requests of all classes and teams, by latest start time. */
    readonly expiry: DeadlineQueue;
    /** Requests that borrowed a slot, in the order of their start; some may have ended. */
    readonly borrowers: RequestId[];
    /** Highest virtual time, before the charge, at which a class has started a request, for each kind of slot. */
    readonly virtualNow: VirtualTimes;
    nextSequence: number;
}

// Virtual time for each kind of slot.
interface VirtualTimes {
    own: number;
    borrowed: number;
}

/** Request counters, virtual times and queues of one class of urgency. */
export interface ClassState {
    readonly urgency: Urgency;
    running: number;
    /** Requests that run in guaranteed slots of the class. */
    runningOwn: number;
    /** Short requests among `runningOwn`. */
    runningOwnShort: number;
    queued: number;
    queuedShort: number;
    /**
     * Slot time that the class has used, divided by its share; the class with the lowest virtual time starts first. It is
     * raised to `virtualNow` when a request joins the empty queue of the class. Own and borrowed slots are counted
     * separately; otherwise long requests in own slots would delay short requests that borrow.
     */
    readonly virtualTime: VirtualTimes;
    /** Earliest retry time for the next rejected caller. */
    nextRetryAt: number;
    /** Teams below their quota with queued requests. */
    readonly teamsWithQueued: Ring<TeamQueues>;
    /** Teams below their quota with queued short requests that may borrow. */
    readonly teamsWithShort: Ring<TeamQueues>;
    readonly runTimes: RunTimes;
}

/** Queued requests of one team in one class. */
export interface TeamQueues {
    readonly team: TeamState;
    readonly urgency: Urgency;
    running: number;
    /** Running borrowers that are overdue; the team does not borrow in this class until they end. */
    overdue: number;
    readonly short: DeadlineQueue;
    readonly long: DeadlineQueue;
}

/** A team with running or queued requests. */
export interface TeamState {
    readonly name: TeamName;
    quota: TeamQuota | undefined;
    running: number;
    queued: number;
    readonly queues: ByUrgency<TeamQueues>;
}

/** A request and its item in the deadline queues. */
export interface QueuedRequest {
    readonly request: AdmissionRequest;
    readonly queueItem: QueueItem;
}

/** A request that holds a slot. */
export interface RunningRequest {
    readonly request: AdmissionRequest;
    readonly startedAt: number;
    /** Run time charged to the class at the start, in milliseconds. */
    readonly chargedMs: number;
    slotKind: SlotKind;
    isShort: boolean;
    /** True for a borrower that has run for several times `borrowRunTimeMs`. */
    isOverdue: boolean;
}

const createClass = (urgency: Urgency): ClassState => ({
    urgency,
    running: 0,
    runningOwn: 0,
    runningOwnShort: 0,
    queued: 0,
    queuedShort: 0,
    virtualTime: { own: 0, borrowed: 0 },
    nextRetryAt: 0,
    teamsWithQueued: createRing(),
    teamsWithShort: createRing(),
    runTimes: createRunTimes(),
});

/** Creates the admission state of one pool on one entry. */
export const createAdmission = (limits: AdmissionLimits): Admission => ({
    limits,
    classes: {
        urgent: createClass("urgent"),
        normal: createClass("normal"),
        deferrable: createClass("deferrable"),
    },
    teams: new Map(),
    waiting: new Map(),
    running: new Map(),
    expiry: createDeadlineQueue(),
    borrowers: [],
    virtualNow: { own: 0, borrowed: 0 },
    nextSequence: 0,
});

/** Returns the state of a team, which is created on its first request. */
export const teamOf = (admission: Admission, name: TeamName): TeamState => {
    const known = admission.teams.get(name);
    if (known !== undefined) {
        return known;
    }
    const team = createTeam(name, quotaOf(admission.limits, name));
    admission.teams.set(name, team);
    return team;
};

/** Removes a team without requests; callers choose team names, so the states of idle teams must not accumulate. */
export const removeIdleTeam = (admission: Admission, team: TeamState): void => {
    if (team.running === 0 && team.queued === 0) {
        admission.teams.delete(team.name);
    }
};

export const quotaOf = (limits: AdmissionLimits, name: TeamName): TeamQuota | undefined =>
    limits.quotas.find(quota => quota.team === name);

const createTeam = (name: TeamName, quota: TeamQuota | undefined): TeamState => {
    const queues: Partial<Record<Urgency, TeamQueues>> = {};
    const team = { name, quota, running: 0, queued: 0, queues: queues as ByUrgency<TeamQueues> };
    urgencies.forEach(urgency => {
        queues[urgency] = {
            team,
            urgency,
            running: 0,
            overdue: 0,
            short: createDeadlineQueue(),
            long: createDeadlineQueue(),
        };
    });
    return team;
};
