import { urgencies } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, TeamDemand } from "./admission-options.js";
import type { Admission } from "./admission-state.js";
import { queuedOf } from "./expected-wait.js";

/** Slots in use and requests waiting, one row for each class and team that has any. */
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

/** What a state dump shows of one admission table. */
export interface AdmissionDump {
    readonly limits: AdmissionLimits;
    readonly demand: readonly TeamDemand[];
    /** Mean run time of each class in milliseconds. */
    readonly runTimesMs: Readonly<Record<string, number>>;
    /** Requests that borrowed a slot as short ones and run for much longer; borrowing is suspended meanwhile. */
    readonly overdueLoans: number;
}

/** The state of an admission table in a form that JSON can hold. */
export const dumpAdmission = (admission: Admission): AdmissionDump => ({
    limits: admission.limits,
    demand: demandOf(admission),
    runTimesMs: Object.fromEntries(
        urgencies.map(urgency => [urgency, Math.round(admission.classes[urgency].runTimes.actualMs)]),
    ),
    overdueLoans: admission.loans.overdue,
});
