import { isDeepStrictEqual } from "node:util";
import type { Change } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import type { Route } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import type { SubjectScope } from "./subject-scope.js";

/** A kind of failure that a change is able to cause. */
export interface Effect {
    readonly cause: Cause;
    /** VMs on which the failures occur; any VM if absent. */
    readonly vms?: readonly VmId[];
}

/** Causes that mean that the capacity was too small for the load. */
export const capacityCauses: readonly Cause[] = ["queue-full", "deadline", "no-capacity", "quota", "no-vm"];
/** Causes that arise at an endpoint or on the connection to it. */
export const endpointCauses: readonly Cause[] = [
    "connect-failed",
    "connection-lost",
    "bad-answer",
    "endpoint-refused",
    "retry-budget",
];

// Capacity causes that depend neither on a quota nor on a pool without VMs.
const loadCauses: readonly Cause[] = ["queue-full", "deadline", "no-capacity"];

/** Returns the failures that a change is able to cause for the subject. */
export const effectsOf = (change: Change, scope: SubjectScope): readonly Effect[] => {
    switch (change.table) {
        case "routes":
            return scope.subject.kind === "route" && change.key === scope.subject.name
                ? effectsOfRoute(change.before, change.after)
                : effectsOfOtherRoute(change.before, change.after);
        case "pools":
            return effectsOfPool(change.before, change.after);
        case "assignments":
            return effectsOfAssignment(change);
    }
};

/** Describes each altered field in one line; an added or deleted row takes a single line. */
export const describeChange = (change: Change): readonly string[] => {
    const name = `${change.table} ${change.key}`;
    if (change.before === undefined) {
        return [`${name}: added`];
    }
    if (change.after === undefined) {
        return [`${name}: deleted`];
    }
    const before: Readonly<Record<string, unknown>> = change.before;
    const after: Readonly<Record<string, unknown>> = change.after;
    return [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(field => !isDeepStrictEqual(before[field], after[field]))
        .map(field => `${name}: ${field} ${describeValue(before[field])} -> ${describeValue(after[field])}`);
};

const describeValue = (value: unknown): string => (value === undefined ? "absent" : JSON.stringify(value));

const effectsIf = (applies: boolean, causes: readonly Cause[]): readonly Effect[] =>
    applies ? causes.map(cause => ({ cause })) : [];

const differs = <Row>(before: Row | undefined, after: Row | undefined, fields: readonly (keyof Row)[]): boolean =>
    fields.some(field => !isDeepStrictEqual(before?.[field], after?.[field]));

const decreases = (before: number | undefined, after: number | undefined): boolean =>
    before !== undefined && after !== undefined && after < before;

const effectsOfRoute = (before: Route | undefined, after: Route | undefined): readonly Effect[] => [
    ...effectsIf(differs(before, after, ["host", "pathPrefix", "methods"]), ["no-route"]),
    ...effectsIf(differs(before, after, ["pool"]), [...capacityCauses, ...endpointCauses]),
    ...effectsIf(differs(before, after, ["urgency"]), loadCauses),
    ...effectsIf(differs(before, after, ["team"]), ["quota"]),
    ...effectsIf(differs(before, after, ["idempotency"]), [
        "claim-held",
        "claim-ran",
        "claim-mismatch",
        "platform-unavailable",
        "connection-lost",
    ]),
    ...effectsIf(decreases(before?.timeoutMs, after?.timeoutMs), ["deadline"]),
    ...effectsIf(decreases(before?.maxBodyBytes, after?.maxBodyBytes), ["too-large"]),
];

// Another route may take over requests of the subject or send requests to its pool.
const effectsOfOtherRoute = (before: Route | undefined, after: Route | undefined): readonly Effect[] => [
    ...effectsIf(differs(before, after, ["host", "pathPrefix", "methods"]), ["no-route", ...loadCauses]),
    ...effectsIf(differs(before, after, ["pool", "urgency", "team"]), [...loadCauses, "quota"]),
];

const effectsOfPool = (before: Pool | undefined, after: Pool | undefined): readonly Effect[] => {
    const added = (after?.vms ?? []).filter(vm => !(before?.vms ?? []).includes(vm));
    const removed = (before?.vms ?? []).filter(vm => !(after?.vms ?? []).includes(vm));
    return [
        ...endpointCauses.filter(() => added.length > 0).map(cause => ({ cause, vms: added })),
        ...effectsIf(removed.length > 0, [...loadCauses, "no-vm"]),
        ...effectsIf(before === undefined && after?.vms.length === 0, ["no-vm"]),
        ...effectsIf(decreases(before?.slotsPerVm, after?.slotsPerVm), loadCauses),
        ...effectsIf(decreases(after?.slotsPerVm, before?.slotsPerVm), ["endpoint-refused", "retry-budget"]),
        ...effectsIf(decreases(before?.connectionsPerVm, after?.connectionsPerVm), loadCauses),
        ...effectsIf(decreases(after?.connectionsPerVm, before?.connectionsPerVm), ["connect-failed", "retry-budget"]),
        ...effectsIf(decreases(before?.minAvailable, after?.minAvailable), loadCauses),
        ...effectsIf(decreases(before?.maxBorrowed, after?.maxBorrowed), loadCauses),
        ...effectsIf(differs(before, after, ["shares"]), loadCauses),
        ...effectsIf(differs(before, after, ["quotas"]), ["quota", ...loadCauses]),
        ...effectsIf(differs(before, after, ["progressIntervalMs"]), ["connection-lost", "retry-budget"]),
    ];
};

const effectsOfAssignment = (change: Extract<Change, { table: "assignments" }>): readonly Effect[] => {
    const { before, after } = change;
    if (after?.phase.kind === "serving") {
        return endpointCauses.map(cause => ({ cause, vms: [change.key] }));
    }
    return effectsIf(before?.phase.kind === "serving", [...loadCauses, "no-vm"]);
};
