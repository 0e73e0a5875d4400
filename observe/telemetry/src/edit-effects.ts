import { isDeepStrictEqual } from "node:util";
import type { Change } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import type { Route } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import type { SubjectScope } from "./subject-scope.js";

/** Failures that a change is able to cause. */
export interface Effect {
    readonly cause: Cause;
    /** Only failures on these VMs; on any if absent. */
    readonly vms?: readonly VmId[];
}

/** Causes that say that the capacity did not suffice for the work. */
export const capacityCauses: readonly Cause[] = ["queue-full", "deadline", "no-capacity", "quota", "no-vm"];
/** Causes that arise at one endpoint. */
export const endpointCauses: readonly Cause[] = [
    "connect-failed",
    "connection-lost",
    "bad-answer",
    "endpoint-refused",
    "retry-budget",
];

const loadCauses: readonly Cause[] = ["queue-full", "deadline", "no-capacity"];

/** The failures of the subject that a change is able to cause. */
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

/** One line for each field that a change alters. */
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

const toEffects = (applies: boolean, causes: readonly Cause[]): readonly Effect[] =>
    applies ? causes.map(cause => ({ cause })) : [];

const differs = <Row>(before: Row | undefined, after: Row | undefined, fields: readonly (keyof Row)[]): boolean =>
    fields.some(field => !isDeepStrictEqual(before?.[field], after?.[field]));

const falls = (before: number | undefined, after: number | undefined): boolean =>
    before !== undefined && after !== undefined && after < before;

const effectsOfRoute = (before: Route | undefined, after: Route | undefined): readonly Effect[] => [
    ...toEffects(differs(before, after, ["host", "pathPrefix", "methods"]), ["no-route"]),
    ...toEffects(differs(before, after, ["pool"]), [...capacityCauses, ...endpointCauses]),
    ...toEffects(differs(before, after, ["urgency"]), loadCauses),
    ...toEffects(differs(before, after, ["team"]), ["quota"]),
    ...toEffects(differs(before, after, ["idempotency"]), [
        "claim-held",
        "claim-ran",
        "claim-mismatch",
        "platform-unavailable",
        "connection-lost",
    ]),
    ...toEffects(falls(before?.timeoutMs, after?.timeoutMs), ["deadline"]),
    ...toEffects(falls(before?.maxBodyBytes, after?.maxBodyBytes), ["too-large"]),
];

// Another route may take requests of the subject or bring work into its pool.
const effectsOfOtherRoute = (before: Route | undefined, after: Route | undefined): readonly Effect[] => [
    ...toEffects(differs(before, after, ["host", "pathPrefix", "methods"]), ["no-route", ...loadCauses]),
    ...toEffects(differs(before, after, ["pool", "urgency", "team"]), [...loadCauses, "quota"]),
];

const effectsOfPool = (before: Pool | undefined, after: Pool | undefined): readonly Effect[] => {
    const added = (after?.vms ?? []).filter(vm => !(before?.vms ?? []).includes(vm));
    const removed = (before?.vms ?? []).filter(vm => !(after?.vms ?? []).includes(vm));
    return [
        ...endpointCauses.filter(() => added.length > 0).map(cause => ({ cause, vms: added })),
        ...toEffects(removed.length > 0, [...loadCauses, "no-vm"]),
        ...toEffects(before === undefined && after?.vms.length === 0, ["no-vm"]),
        ...toEffects(falls(before?.slotsPerVm, after?.slotsPerVm), loadCauses),
        ...toEffects(falls(after?.slotsPerVm, before?.slotsPerVm), ["endpoint-refused", "retry-budget"]),
        ...toEffects(falls(before?.connectionsPerVm, after?.connectionsPerVm), loadCauses),
        ...toEffects(falls(after?.connectionsPerVm, before?.connectionsPerVm), ["connect-failed", "retry-budget"]),
        ...toEffects(falls(before?.minAvailable, after?.minAvailable), loadCauses),
        ...toEffects(falls(before?.maxBorrowed, after?.maxBorrowed), loadCauses),
        ...toEffects(differs(before, after, ["shares"]), loadCauses),
        ...toEffects(differs(before, after, ["quotas"]), ["quota", ...loadCauses]),
        ...toEffects(differs(before, after, ["progressIntervalMs"]), ["connection-lost", "retry-budget"]),
    ];
};

const effectsOfAssignment = (change: Extract<Change, { table: "assignments" }>): readonly Effect[] => {
    const { before, after } = change;
    if (after?.phase.kind === "serving") {
        return endpointCauses.map(cause => ({ cause, vms: [change.key] }));
    }
    return toEffects(before?.phase.kind === "serving", [...loadCauses, "no-vm"]);
};
