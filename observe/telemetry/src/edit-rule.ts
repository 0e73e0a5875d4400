import { isDeepStrictEqual } from "node:util";
import type { Change, EditRecord } from "@almondusher/fleet/edit";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";
import { capacityCauses, describeChange, type Effect, effectsOf, endpointCauses } from "./edit-effects.js";
import {
    sumCounts,
    type ExplainInput,
    formatRate,
    formatTime,
    LOOKBACK_MS,
    MS_PER_MINUTE,
    type RuleContext,
} from "./explain-input.js";
import type { FailureRow } from "./traffic-log.js";
import type { Attribution, Fault } from "./fault.js";
import { adoptionTime } from "./revision-use.js";
import { affectsSubject } from "./subject-scope.js";

/** Whether an edit explains a group of failures. */
export interface EditAssessment {
    /** Absent if no edit is responsible, or if the manager made the edit and rule 5 of `explain` decides. */
    readonly attribution: Attribution | undefined;
    /** True if the responsible edit changed a route, so that it may itself be the reason for more arrivals. */
    readonly changesRouting: boolean;
    /** For each other edit that is able to cause the failures, why it is not responsible or could not be assessed. */
    readonly exclusions: readonly string[];
}

type AssignmentChange = Extract<Change, { table: "assignments" }>;
type PoolChange = Extract<Change, { table: "pools" }>;

/** An edit that is able to cause failures of the group. */
interface Candidate {
    readonly edit: EditRecord;
    /** When the first process started to use the edit. */
    readonly usedFromMs: number;
    readonly effects: readonly Effect[];
    /** True if the edit adds the subject's own row, so that there are no earlier failures to compare with. */
    readonly addsSubject: boolean;
    /** The later edit that reverted the changes; failures after it are not attributed to this edit. */
    readonly revert: EditRecord | undefined;
    /** Failures that the edit is able to cause, from its revision up to the revert. */
    readonly after: readonly FailureRow[];
    /** The same kind of failures at earlier revisions, shortly before the edit was first used. */
    readonly before: readonly FailureRow[];
}

// Causes that the fleet tables alone determine, so that for a new row no comparison with the time before it is needed.
const configurationCauses: readonly Cause[] = ["no-route", "no-vm", "too-large", "quota"];

interface AssessedCandidate {
    readonly candidate: Candidate;
    readonly isResponsible: boolean;
    readonly reason: string;
}

// Stated target: every process uses a new configuration within 10 s.
const PROPAGATION_MS = 10_000;
// Queues are bounded; a load above the capacity fills them within a minute.
const QUEUE_FILL_MS = 60_000;
// An incident that ended longer than this before the edit says nothing about the edit.
const PRIOR_FAILURE_WINDOW_MS = 5 * MS_PER_MINUTE;
// Longest time from an operator's edit to the manager's edit that carries it out. A drain starts within one planning
// period; a requested move waits at most for the end of a maintenance wave.
const ORIGIN_WINDOW_MS = 60 * MS_PER_MINUTE;
// If the rate before the edit is at least this share of the rate after it, the failures do not depend on the edit.
const EXCLUDING_RATE_SHARE = 0.5;
// An edit is responsible only if the failure rate shortly after it is at least this share of the rate of all failures
// after it. Otherwise a single early failure would suffice to attribute a far larger number of later failures to the
// edit.
const MIN_EARLY_RATE_SHARE = 1 / 3;

/** Finds the edit that is responsible for a group of failures; see rule 3 of `explain`. */
export const assessEdits = (context: RuleContext): EditAssessment => {
    const assessed = findCandidates(context).map(candidate => assessCandidate(candidate, context));
    const responsible = pickResponsible(assessed.filter(item => item.isResponsible));
    const fault = responsible === undefined ? undefined : faultOf(responsible.candidate, context);
    return {
        attribution:
            responsible === undefined || fault === undefined
                ? undefined
                : { fault, evidence: describeResponsible(responsible, context.input) },
        changesRouting: responsible?.candidate.edit.changes.some(change => change.table === "routes") ?? false,
        exclusions: assessed.filter(item => !item.isResponsible).map(item => item.reason),
    };
};

const findCandidates = ({ group, scope, input }: RuleContext): readonly Candidate[] =>
    input.history
        .map(edit => ({ edit, usedFromMs: adoptionTime(edit, input.uses) }))
        .filter(({ usedFromMs }) => usedFromMs <= group.lastAtMs && usedFromMs >= input.fromMs - LOOKBACK_MS)
        .map(({ edit, usedFromMs }) => {
            const changes = edit.changes.filter(change => affectsSubject(change, scope));
            const revert = findRevert(edit, changes, input.history);
            const effects = changes
                .flatMap(change => effectsOf(change, scope))
                .filter(effect => effect.cause === group.cause);
            const rows = group.allRows.filter(row => effects.some(effect => matchesEffect(effect, row)));
            return {
                edit,
                usedFromMs,
                effects,
                addsSubject: changes.some(change => change.before === undefined && change.key === scope.subject.name),
                revert,
                after: rows.filter(
                    row => row.revision >= edit.revision && row.revision < (revert?.revision ?? Infinity),
                ),
                before: rows
                    .filter(row => row.revision < edit.revision)
                    .filter(row => row.firstAtMs < usedFromMs && row.lastAtMs >= usedFromMs - PRIOR_FAILURE_WINDOW_MS)
                    .map(row => truncateAt(row, usedFromMs)),
            };
        })
        .filter(candidate => candidate.after.some(row => row.lastAtMs >= input.fromMs));

// A request that arrived before the edit may fail after it. Cuts the row at the given time and scales its count,
// assuming that the failures are spread evenly over the row.
const truncateAt = (row: FailureRow, momentMs: number): FailureRow => {
    const lengthMs = row.lastAtMs - row.firstAtMs;
    return row.lastAtMs <= momentMs || lengthMs === 0
        ? row
        : { ...row, lastAtMs: momentMs, count: (row.count * (momentMs - row.firstAtMs)) / lengthMs };
};

const findRevert = (
    edit: EditRecord,
    changes: readonly Change[],
    history: readonly EditRecord[],
): EditRecord | undefined =>
    history.find(
        later =>
            later.revision > edit.revision &&
            changes.every(change =>
                later.changes.some(
                    other =>
                        other.table === change.table &&
                        other.key === change.key &&
                        isDeepStrictEqual(other.after, change.before),
                ),
            ),
    );

const matchesEffect = (effect: Effect, row: FailureRow): boolean =>
    effect.vms === undefined || (row.vm !== undefined && effect.vms.includes(row.vm));

const assessCandidate = (candidate: Candidate, { group, input }: RuleContext): AssessedCandidate => {
    const { edit, usedFromMs, after, before } = candidate;
    const name = `edit ${edit.revision}`;
    const observedMs = observedMsBefore(usedFromMs, input);
    const onsetMs = Math.min(...after.map(row => row.firstAtMs));
    const limitMs = latestOnset(candidate, group.cause, input);
    const beforeStartMs = before.reduce((left, row) => Math.min(left, row.firstAtMs), usedFromMs);
    const beforeRate = ratePerMinute(before, beforeStartMs, usedFromMs);
    const afterRate = ratePerMinute(after, usedFromMs, Math.max(...after.map(row => row.lastAtMs)));
    if (candidate.addsSubject ? !configurationCauses.includes(group.cause) : observedMs <= 0) {
        return {
            candidate,
            isResponsible: false,
            reason: `${name} cannot be assessed: nothing was recorded before it that it could be compared with`,
        };
    }
    if (sumCounts(before) > 0 && beforeRate >= afterRate * EXCLUDING_RATE_SHARE) {
        const reason = `${name} is not the reason: ${group.cause} already occurred ${formatRate(beforeRate)} before it, ${formatRate(afterRate)} since`;
        return { candidate, isResponsible: false, reason };
    }
    if (onsetMs > limitMs || !hasEarlyOnset(after, usedFromMs, limitMs)) {
        const reason = `${name} is not the reason: it was in use from ${formatTime(usedFromMs)}, but the failures had not started by ${formatTime(limitMs)}`;
        return { candidate, isResponsible: false, reason };
    }
    const comparison = `${group.cause} occurred ${formatRate(beforeRate)} before ${name} and ${formatRate(afterRate)} since`;
    const onset = `the first failure occurred ${((onsetMs - usedFromMs) / 1000).toFixed(1)} s after the first process used it`;
    return { candidate, isResponsible: true, reason: `${comparison}; ${onset}` };
};

const ratePerMinute = (rows: readonly FailureRow[], fromMs: number, toMs: number): number =>
    sumCounts(rows) / Math.max((toMs - fromMs) / MS_PER_MINUTE, 1);

/** Length of the recorded time before the given moment, at most the look-back time. */
const observedMsBefore = (momentMs: number, { traffic, uses }: ExplainInput): number => {
    const starts = [
        ...traffic.arrivals.map(row => row.minuteMs),
        ...traffic.failures.map(row => row.firstAtMs),
        ...uses.map(use => use.sinceMs),
    ];
    const earliest = starts.reduce((left, right) => Math.min(left, right), momentMs);
    return Math.min(momentMs - earliest, LOOKBACK_MS);
};

// Latest time at which failures caused by the edit start. Without requests there are no failures, so if the edit is
// followed by minutes without arrivals, the time counts from the end of the first minute with arrivals.
const latestOnset = (candidate: Candidate, cause: Cause, input: ExplainInput): number => {
    const delayMs = PROPAGATION_MS + (capacityCauses.includes(cause) ? QUEUE_FILL_MS : 0);
    const minutes = input.traffic.arrivals
        .map(row => row.minuteMs)
        .filter(minuteMs => minuteMs + MS_PER_MINUTE > candidate.usedFromMs);
    const firstMinuteMs = minutes.reduce((left, right) => Math.min(left, right), Number.POSITIVE_INFINITY);
    const startsWithoutTraffic = Number.isFinite(firstMinuteMs) && firstMinuteMs > candidate.usedFromMs;
    return (startsWithoutTraffic ? firstMinuteMs + MS_PER_MINUTE : candidate.usedFromMs) + delayMs;
};

const hasEarlyOnset = (after: readonly FailureRow[], usedFromMs: number, limitMs: number): boolean => {
    const early = after.filter(row => row.firstAtMs <= limitMs && row.lastAtMs >= usedFromMs);
    return ratePerFailingMinute(early) >= ratePerFailingMinute(after) * MIN_EARLY_RATE_SHARE;
};

const ratePerFailingMinute = (rows: readonly FailureRow[]): number =>
    sumCounts(rows) / Math.max(new Set(rows.map(row => row.minuteMs)).size, 1);

// Of several responsible edits in quick succession, chooses the last one at or before the lowest revision with failures
// that the first one is able to cause.
const pickResponsible = (responsible: readonly AssessedCandidate[]): AssessedCandidate | undefined => {
    const [first] = responsible;
    const lowest = first?.candidate.after.reduce((left, row) => Math.min(left, row.revision), Infinity) ?? 0;
    return responsible.findLast(item => item.candidate.edit.revision <= lowest) ?? first;
};

// The manager moves VMs because an operator changed the pools table, or on its own. In the first case the operator's
// edit is at fault.
const faultOf = ({ edit, effects }: Candidate, { group, input }: RuleContext): Fault | undefined => {
    if (edit.author.kind === "operator") {
        return { kind: "edit", revision: edit.revision, author: edit.author };
    }
    const vms = edit.changes.filter(change => change.table === "assignments").map(change => change.key);
    const origin = findOriginatingEdit(
        edit,
        effects.flatMap(effect => effect.vms ?? vms),
        input.history,
    );
    if (origin !== undefined) {
        return { kind: "edit", revision: origin.revision, author: origin.author };
    }
    // Endpoint causes are left to rule 5 of `explain`: the VM may have failed after the manager returned it to service.
    return endpointCauses.includes(group.cause) ? undefined : { kind: "system" };
};

const findOriginatingEdit = (
    edit: EditRecord,
    vms: readonly VmId[],
    history: readonly EditRecord[],
): EditRecord | undefined => {
    const moves = edit.changes
        .filter(change => change.table === "assignments")
        .filter(change => vms.includes(change.key))
        .flatMap(change => requestedMoves(change));
    return history.findLast(
        item =>
            item.revision < edit.revision &&
            item.author.kind === "operator" &&
            Date.parse(edit.at) - Date.parse(item.at) <= ORIGIN_WINDOW_MS &&
            item.changes.some(change => change.table === "pools" && moves.some(move => requestsMove(change, move))),
    );
};

/** A move of a VM that an edit of the manager carries out. */
interface RequestedMove {
    readonly vm: VmId;
    /** Pool that the VM moves to; absent for a removal from all pools. */
    readonly to: PoolName | undefined;
}

// Maintenance and the return from it are not requested by an operator's edit.
const requestedMoves = ({ key, before, after }: AssignmentChange): readonly RequestedMove[] => {
    if (after?.phase.kind === "serving") {
        return before?.pool === after.pool ? [] : [{ vm: key, to: after.pool }];
    }
    if (after?.phase.kind !== "draining") {
        return [];
    }
    switch (after.phase.purpose.kind) {
        case "move":
            return [{ vm: key, to: after.phase.purpose.pool }];
        case "removal":
            return [{ vm: key, to: undefined }];
        case "maintenance":
            return [];
    }
};

const requestsMove = ({ key, before, after }: PoolChange, { vm, to }: RequestedMove): boolean => {
    const had = before?.vms.includes(vm) ?? false;
    const has = after?.vms.includes(vm) ?? false;
    return to === undefined ? had && !has : key === to && has && !had;
};

const describeResponsible = (
    { candidate, reason }: AssessedCandidate,
    { traffic, toMs }: ExplainInput,
): readonly string[] => {
    const { edit, revert } = candidate;
    const hasLaterTraffic = (momentMs: number): boolean =>
        toMs > momentMs && traffic.arrivals.some(row => row.minuteMs + MS_PER_MINUTE > momentMs);
    const isReverted = revert !== undefined && hasLaterTraffic(Date.parse(revert.at) + PROPAGATION_MS);
    return [
        ...edit.changes.flatMap(describeChange).map(line => `edit ${edit.revision}: ${line}`),
        reason,
        ...(isReverted
            ? [`edit ${revert.revision} by ${revert.author.name} took it back; check whether failures continue`]
            : []),
    ];
};
