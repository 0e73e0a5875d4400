import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, TeamDemand } from "./admission-options.js";
import type { Admission, ClassState } from "./admission-state.js";
import { backlogOf } from "./deadline-queue.js";
import { queuedOf } from "./expected-wait.js";

/** Running and queued requests, one row for each class and team that has any. */
export const demandOf = (admission: Admission): readonly TeamDemand[] =>
    [...admission.teams.values()].flatMap(team =>
        urgencies
            .map(urgency => ({
                urgency,
                team: team.name,
                running: team.queues[urgency].running,
                queued: queuedOf(team.queues[urgency]),
            }))
            .filter(row => row.running > 0 || row.queued > 0),
    );

/** Demand of one entry, as reported to the grantor of the pool. */
export interface SlotDemand {
    /** Short requests that run in guaranteed slots of their class. */
    readonly ownShort: ByUrgency<number>;
    /** Long requests, which always run in guaranteed slots of their class. */
    readonly ownLong: ByUrgency<number>;
    /** Requests that run in slots borrowed from other classes. */
    readonly borrowed: number;
    /** Queued requests that may borrow slots of other classes and are within the quota of their team. */
    readonly queuedShort: ByUrgency<number>;
    /** Queued requests that may not borrow and are within the quota of their team. */
    readonly queuedLong: ByUrgency<number>;
}

/** The demand to report to the grantor. */
export const slotDemandOf = (admission: Admission): SlotDemand => {
    const { classes } = admission;
    const queued = byUrgency(urgency => queuedWithinQuotas(classes[urgency]));
    return {
        ownShort: byUrgency(urgency => classes[urgency].runningOwnShort),
        ownLong: byUrgency(urgency => longRunningIn(classes[urgency])),
        borrowed: sumOf(urgency => classes[urgency].running - classes[urgency].runningOwn),
        queuedShort: byUrgency(urgency => queued[urgency].short),
        queuedLong: byUrgency(urgency => queued[urgency].long),
    };
};

const longRunningIn = ({ runningOwn, runningOwnShort }: ClassState): number => runningOwn - runningOwnShort;

/** Number of running long requests in all classes. */
export const countLongRunning = ({ classes }: Admission): number => sumOf(urgency => longRunningIn(classes[urgency]));

const byUrgency = <Value>(valueOf: (urgency: Urgency) => Value): ByUrgency<Value> => ({
    urgent: valueOf("urgent"),
    normal: valueOf("normal"),
    deferrable: valueOf("deferrable"),
});

const sumOf = (countOf: (urgency: Urgency) => number): number =>
    urgencies.reduce((sum, urgency) => sum + countOf(urgency), 0);

interface QueuedCount {
    readonly short: number;
    readonly long: number;
}

const queuedWithinQuotas = (state: ClassState): QueuedCount =>
    [...state.teamsWithQueued.links.keys()].reduce<QueuedCount>(
        (sum, { team, short, long }) => {
            const allowed = (team.quota?.poolSlots ?? Infinity) - team.running;
            const shortCount = Math.min(allowed, backlogOf(short).count);
            const longCount = Math.min(allowed - shortCount, backlogOf(long).count);
            return { short: sum.short + shortCount, long: sum.long + longCount };
        },
        { short: 0, long: 0 },
    );

/** Admission state of one pool in a state dump. */
export interface AdmissionDump {
    readonly limits: AdmissionLimits;
    readonly demand: readonly TeamDemand[];
    /** Mean run time of each class in milliseconds. */
    readonly runTimesMs: Readonly<Record<string, number>>;
    /** Borrowers that have run for several times `borrowRunTimeMs`; their teams do not borrow until they end. */
    readonly overdueLoans: number;
}

/** Converts an admission state to a form that can be serialised as JSON. */
export const dumpAdmission = (admission: Admission): AdmissionDump => ({
    limits: admission.limits,
    demand: demandOf(admission),
    runTimesMs: Object.fromEntries(
        urgencies.map(urgency => [urgency, Math.round(admission.classes[urgency].runTimes.actualMs)]),
    ),
    overdueLoans: [...admission.running.values()].filter(running => running.isOverdue).length,
});
