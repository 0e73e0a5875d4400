import type { RequestId, TeamName } from "@almondusher/fleet/ids";
import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, AdmissionRequest, TeamQuota } from "./admission-options.js";
import { createDeadlineQueue, type DeadlineQueue, type WaitingRequest } from "./deadline-queue.js";
import { createRing, type Ring } from "./ring.js";
import { createRunTimes, type RunTimes } from "./run-times.js";

/** Which slot a request may take: one of its class's share, one that it borrows, or none. */
export type Entitlement = SlotKind | "none";

/** A slot of the share of the request's own class, or one borrowed from another. */
export type SlotKind = keyof VirtualTimes;

/** Admission of one pool on one entry; changed only by the functions of this package. */
export interface Admission {
    limits: AdmissionLimits;
    readonly classes: ByUrgency<ClassState>;
    readonly teams: Map<TeamName, TeamState>;
    readonly waiting: Map<RequestId, Waiting>;
    readonly running: Map<RequestId, Running>;
    /** All waiting requests by deadline, whatever their class and team. */
    readonly expiry: DeadlineQueue;
    /** Requests that borrowed a slot, in the order in which they did; some may have ended. */
    readonly loans: RequestId[];
    /** Virtual times of the classes that started last. */
    readonly virtualNow: VirtualTimes;
    nextSequence: number;
}

// Virtual times in own and in borrowed slots.
interface VirtualTimes {
    own: number;
    borrowed: number;
}

/** One class of urgency. */
export interface ClassState {
    readonly urgency: Urgency;
    running: number;
    /** Requests that run within the guaranteed share of the class. */
    runningOwn: number;
    /** Those of them that are short. */
    runningOwnShort: number;
    queued: number;
    queuedShort: number;
    /**
     * Slot time that the class used, divided by its share; the class that is furthest behind starts first. Slots of
     * the own share are counted apart, or long requests there would push back the short ones that borrow.
     */
    readonly virtualTime: VirtualTimes;
    /** Rejected callers were told to retry up to this time. */
    retryAt: number;
    /** Teams below their quota with a request that waits. */
    readonly teamsWaiting: Ring<TeamQueues>;
    /** Teams below their quota with a short request that waits. */
    readonly teamsWithShort: Ring<TeamQueues>;
    readonly runTimes: RunTimes;
}

/** The requests of one team that wait in one class. */
export interface TeamQueues {
    readonly team: TeamState;
    readonly urgency: Urgency;
    running: number;
    /** Borrowers that run for much longer than short requests do; the team does not borrow in this class meanwhile. */
    overdue: number;
    readonly short: DeadlineQueue;
    readonly long: DeadlineQueue;
}

/** One team with requests that run or wait. */
export interface TeamState {
    readonly name: TeamName;
    quota: TeamQuota | undefined;
    running: number;
    queued: number;
    readonly queues: ByUrgency<TeamQueues>;
}

/** A request that waits, with its place. */
export interface Waiting {
    readonly request: AdmissionRequest;
    readonly place: WaitingRequest;
}

/** A request that holds a slot. */
export interface Running {
    readonly request: AdmissionRequest;
    readonly startedAt: number;
    /** Run time that was charged to the class at the start, in milliseconds. */
    readonly chargedMs: number;
    slotKind: SlotKind;
    isShort: boolean;
    /** True for a borrower that ran for much longer than a short request does. */
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
    retryAt: 0,
    teamsWaiting: createRing(),
    teamsWithShort: createRing(),
    runTimes: createRunTimes(),
});

/** Creates the admission table of one pool on one entry. */
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
    loans: [],
    virtualNow: { own: 0, borrowed: 0 },
    nextSequence: 0,
});

/** The state of a team, created at its first request. */
export const teamOf = (admission: Admission, name: TeamName): TeamState => {
    const known = admission.teams.get(name);
    if (known !== undefined) {
        return known;
    }
    const team = createTeam(name, quotaOf(admission.limits, name));
    admission.teams.set(name, team);
    return team;
};

/** Forgets a team without requests; callers choose team names, so idle teams must not accumulate. */
export const forgetIdleTeam = (admission: Admission, team: TeamState): void => {
    if (team.running === 0 && team.queued === 0) {
        admission.teams.delete(team.name);
    }
};

/** The quota of a team, if it has one. */
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
