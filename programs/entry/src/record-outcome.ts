import type { Route } from "@almondusher/fleet/route";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import { count } from "@almondusher/telemetry/counters";
import { recordFailure } from "@almondusher/telemetry/traffic-log";
import type { EntryContext } from "./entry-context.js";
import type { ActiveRequest, EndedAttempt } from "./active-request.js";

export interface RejectionDetails {
    readonly cause: Cause;
    readonly verdict: Verdict;
    /** Absent if the request was rejected before its route was known. */
    readonly route?: Route;
}

/** Counts a rejection by cause and revision, and adds it to the traffic log, which the explain command reads. */
export const recordRejection = (entry: EntryContext, { cause, verdict, route }: RejectionDetails): void => {
    // The revision at the time of the rejection, which may be higher than at the arrival of the request.
    const { revision } = entry.tables.view.state;
    const routeLabels = route === undefined ? {} : { route: route.name, pool: route.pool };
    count(entry.counters, { name: "rejections", ...routeLabels, cause, verdict, revision });
    recordFailure(entry.trafficLog, { cause, ...routeLabels, revision }, Date.now());
};

/** Counts an attempt that ended without a response, and adds it to the traffic log, which the explain command reads. */
export const recordFailedAttempt = (entry: EntryContext, active: ActiveRequest, ended: EndedAttempt): void => {
    const { name, pool } = active.request.route;
    const { vm, cause, verdict } = ended;
    const { revision } = entry.tables.view.state;
    count(entry.counters, { name: "failed-attempts", route: name, pool, vm, cause, verdict, revision });
    recordFailure(entry.trafficLog, { cause, route: name, pool, vm, revision }, Date.now());
};
