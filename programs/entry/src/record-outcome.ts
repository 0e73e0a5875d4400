import type { Route } from "@almondusher/fleet/route";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import { count } from "@almondusher/telemetry/counters";
import { recordFailure } from "@almondusher/telemetry/failure-log";
import type { EntryContext } from "./entry-context.js";
import type { EndedAttempt, RequestFlow } from "./request-flow.js";

export interface RejectionRecord {
    readonly cause: Cause;
    readonly verdict: Verdict;
    /** Absent if the request was rejected before its route was known. */
    readonly route?: Route;
}

/** Counts a rejection under its cause and revision, and keeps it for explain. */
export const recordRejection = (entry: EntryContext, { cause, verdict, route }: RejectionRecord): void => {
    // The revision that the decision was made under, which may be later than the one at the arrival.
    const { revision } = entry.tables.view.state;
    const place = route === undefined ? {} : { route: route.name, pool: route.pool };
    count(entry.counters, { name: "rejections", ...place, cause, verdict, revision });
    recordFailure(entry.failureLog, { cause, ...place, revision }, Date.now());
};

/** Counts an attempt that ended without an answer, and keeps it for explain. */
export const recordFailedAttempt = (entry: EntryContext, flow: RequestFlow, ended: EndedAttempt): void => {
    const { name, pool } = flow.request.route;
    const { vm, cause, verdict } = ended;
    const { revision } = entry.tables.view.state;
    count(entry.counters, { name: "failed-attempts", route: name, pool, vm, cause, verdict, revision });
    recordFailure(entry.failureLog, { cause, route: name, pool, vm, revision }, Date.now());
};
