import { isDeepStrictEqual } from "node:util";
import type { Change, EditRecord } from "@almondusher/fleet/edit";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";
import { capacityCauses, describeChange, type Effect, effectsOf, endpointCauses } from "./edit-effects.js";
import {
    countRows,
    type ExplainInput,
    formatRate,
    formatTime,
    LOOKBACK_MS,
    MS_PER_MINUTE,
    type RuleInput,
} from "./explain-input.js";
import type { FailureRow } from "./failure-log.js";
import type { Attribution, Fault } from "./fault.js";
import { adoptionTime } from "./revision-use.js";
import { touchesSubject } from "./subject-scope.js";

/** What the edits have to do with a group of failures. */
export interface EditJudgement {
    readonly attribution: Attribution | undefined;
    /** True if the edit at fault changed which requests reach the subject, so that arrivals rise because of it. */
    readonly movesWork: boolean;
    /** Why the other edits that could have caused the failures did not. */
    readonly acquittals: readonly string[];
}

type AssignmentChange = Extract<Change, { table: "assignments" }>;
type PoolChange = Extract<Change, { table: "pools" }>;

interface Candidate {
    readonly edit: EditRecord;
    readonly usedFromMs: number;
    readonly effects: readonly Effect[];
    /** The edit adds the subject's own row, so that there is no time before it to compare with. */
    readonly addsRow: boolean;
    /** The edit that took its changes back; later failures are not its own. */
    readonly revert: EditRecord | undefined;
    /** Failures of the group that the edit is able to cause, at its revision or later. */
    readonly after: readonly FailureRow[];
    readonly before: readonly FailureRow[];
}

// Follow from the tables alone, so that a new row needs no comparison with the time before it.
const directCauses: readonly Cause[] = ["no-route", "no-vm", "too-large", "quota"];

interface Judged {
    readonly candidate: Candidate;
    readonly guilty: boolean;
    readonly reason: string;
}

// Stated target: a configuration is in force everywhere within 10 s.
const PROPAGATION_MS = 10_000;
// Queues are bounded and fill within a minute at any load that exceeds the capacity.
const QUEUE_FILL_MS = 60_000;
// An earlier incident that was over by then says nothing about the edit.
const ACQUITTING_MS = 5 * MS_PER_MINUTE;
// A drain that follows an operator's edit starts within a planning period; requested moves wait at most for a wave.
const ORIGIN_MS = 60 * MS_PER_MINUTE;
// Failures at half their later rate or more before the edit show that they do not depend on it.
const ACQUITTING_SHARE = 0.5;
// A single failure right after an edit does not explain a far larger number that starts later.
const EARLY_SHARE = 1 / 3;

/** Finds the edit that explains a group of failures; see `explain` for the rules. */
export const judgeEdits = (rule: RuleInput): EditJudgement => {
    const judged = findCandidates(rule).map(candidate => judge(candidate, rule));
    const guilty = pickGuilty(judged.filter(item => item.guilty));
    const fault = guilty === undefined ? undefined : faultOf(guilty.candidate, rule);
    return {
        attribution:
            guilty === undefined || fault === undefined
                ? undefined
                : { fault, evidence: describeGuilty(guilty, rule.input) },
        movesWork: guilty?.candidate.edit.changes.some(change => change.table === "routes") ?? false,
        acquittals: judged.filter(item => !item.guilty).map(item => item.reason),
    };
};

const findCandidates = ({ group, scope, input }: RuleInput): readonly Candidate[] =>
    input.history
        .map(edit => ({ edit, usedFromMs: adoptionTime(edit, input.uses) }))
        .filter(({ usedFromMs }) => usedFromMs <= group.lastAtMs && usedFromMs >= input.fromMs - LOOKBACK_MS)
        .map(({ edit, usedFromMs }) => {
            const changes = edit.changes.filter(change => touchesSubject(change, scope));
            const revert = findRevert(edit, changes, input.history);
            const effects = changes
                .flatMap(change => effectsOf(change, scope))
                .filter(effect => effect.cause === group.cause);
            const rows = group.allRows.filter(row => effects.some(effect => covers(effect, row)));
            return {
                edit,
                usedFromMs,
                effects,
                addsRow: changes.some(change => change.before === undefined && change.key === scope.subject.name),
                revert,
                after: rows.filter(
                    row => row.revision >= edit.revision && row.revision < (revert?.revision ?? Infinity),
                ),
                before: rows
                    .filter(row => row.revision < edit.revision)
                    .filter(row => row.firstAtMs < usedFromMs && row.lastAtMs >= usedFromMs - ACQUITTING_MS)
                    .map(row => cutAt(row, usedFromMs)),
            };
        })
        .filter(candidate => candidate.after.some(row => row.lastAtMs >= input.fromMs));

// A request that arrived before the edit may fail after it; the part of a minute after the edit is left out.
const cutAt = (row: FailureRow, momentMs: number): FailureRow => {
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

const covers = (effect: Effect, row: FailureRow): boolean =>
    effect.vms === undefined || (row.vm !== undefined && effect.vms.includes(row.vm));

const judge = (candidate: Candidate, { group, input }: RuleInput): Judged => {
    const { edit, usedFromMs, after, before } = candidate;
    const name = `edit ${edit.revision}`;
    const observedMs = observedBefore(usedFromMs, input);
    const onsetMs = Math.min(...after.map(row => row.firstAtMs));
    const limitMs = onsetLimit(candidate, group.cause, input);
    const beforeStartMs = before.reduce((left, row) => Math.min(left, row.firstAtMs), usedFromMs);
    const beforeRate = ratePerMinute(before, beforeStartMs, usedFromMs);
    const afterRate = ratePerMinute(after, usedFromMs, Math.max(...after.map(row => row.lastAtMs)));
    if (candidate.addsRow ? !directCauses.includes(group.cause) : observedMs <= 0) {
        return { candidate, guilty: false, reason: `${name} cannot be judged: there is no time before it to compare` };
    }
    if (countRows(before) > 0 && beforeRate >= afterRate * ACQUITTING_SHARE) {
        const reason = `${name} is not the reason: ${group.cause} already occurred ${formatRate(beforeRate)} before it, ${formatRate(afterRate)} since`;
        return { candidate, guilty: false, reason };
    }
    if (onsetMs > limitMs || !startsInForce(after, usedFromMs, limitMs)) {
        const reason = `${name} is not the reason: it was in use from ${formatTime(usedFromMs)}, the failures did not start by ${formatTime(limitMs)}`;
        return { candidate, guilty: false, reason };
    }
    const comparison = `${group.cause} occurred ${formatRate(beforeRate)} before ${name} and ${formatRate(afterRate)} since`;
    const onset = `the first came ${((onsetMs - usedFromMs) / 1000).toFixed(1)} s after the first process used it`;
    return { candidate, guilty: true, reason: `${comparison}; ${onset}` };
};

const ratePerMinute = (rows: readonly FailureRow[], fromMs: number, toMs: number): number =>
    countRows(rows) / Math.max((toMs - fromMs) / MS_PER_MINUTE, 1);

/** Length of the time before a moment that some process recorded. */
const observedBefore = (momentMs: number, { traffic, uses }: ExplainInput): number => {
    const starts = [
        ...traffic.arrivals.map(row => row.minuteMs),
        ...traffic.failures.map(row => row.firstAtMs),
        ...uses.map(use => use.sinceMs),
    ];
    const earliest = starts.reduce((left, right) => Math.min(left, right), momentMs);
    return Math.min(momentMs - earliest, LOOKBACK_MS);
};

// Without requests there are no failures, so the time starts with the first arrivals after the edit.
const onsetLimit = (candidate: Candidate, cause: Cause, input: ExplainInput): number => {
    const delayMs = PROPAGATION_MS + (capacityCauses.includes(cause) ? QUEUE_FILL_MS : 0);
    const minutes = input.traffic.arrivals
        .map(row => row.minuteMs)
        .filter(minuteMs => minuteMs + MS_PER_MINUTE > candidate.usedFromMs);
    const firstMinuteMs = minutes.reduce((left, right) => Math.min(left, right), Number.POSITIVE_INFINITY);
    const isQuiet = Number.isFinite(firstMinuteMs) && firstMinuteMs > candidate.usedFromMs;
    return (isQuiet ? firstMinuteMs + MS_PER_MINUTE : candidate.usedFromMs) + delayMs;
};

const startsInForce = (after: readonly FailureRow[], usedFromMs: number, limitMs: number): boolean => {
    const early = after.filter(row => row.firstAtMs <= limitMs && row.lastAtMs >= usedFromMs);
    return perFailingMinute(early) >= perFailingMinute(after) * EARLY_SHARE;
};

const perFailingMinute = (rows: readonly FailureRow[]): number =>
    countRows(rows) / Math.max(new Set(rows.map(row => row.minuteMs)).size, 1);

// Of several edits in quick succession the last one at or before the lowest failing revision is at fault.
const pickGuilty = (guilty: readonly Judged[]): Judged | undefined => {
    const [first] = guilty;
    const lowest = first?.candidate.after.reduce((left, row) => Math.min(left, row.revision), Infinity) ?? 0;
    return guilty.findLast(item => item.candidate.edit.revision <= lowest) ?? first;
};

// The manager moves VMs because an operator changed the pools table, or by its own decision.
const faultOf = ({ edit, effects }: Candidate, { group, input }: RuleInput): Fault | undefined => {
    if (edit.author.kind === "operator") {
        return { kind: "edit", revision: edit.revision, author: edit.author };
    }
    const vms = edit.changes.filter(change => change.table === "assignments").map(change => change.key);
    const origin = findOrigin(
        edit,
        effects.flatMap(effect => effect.vms ?? vms),
        input.history,
    );
    if (origin !== undefined) {
        return { kind: "edit", revision: origin.revision, author: origin.author };
    }
    // A VM that fails after the manager returned it to service is judged by the rule for endpoints.
    return endpointCauses.includes(group.cause) ? undefined : { kind: "system" };
};

const findOrigin = (edit: EditRecord, vms: readonly VmId[], history: readonly EditRecord[]): EditRecord | undefined => {
    const moves = edit.changes
        .filter(change => change.table === "assignments")
        .filter(change => vms.includes(change.key))
        .flatMap(change => requestedMove(change));
    return history.findLast(
        item =>
            item.revision < edit.revision &&
            item.author.kind === "operator" &&
            Date.parse(edit.at) - Date.parse(item.at) <= ORIGIN_MS &&
            item.changes.some(change => change.table === "pools" && moves.some(move => asksFor(change, move))),
    );
};

interface RequestedMove {
    readonly vm: VmId;
    /** Absent for a removal from all pools. */
    readonly to: PoolName | undefined;
}

// Maintenance and the return from it follow no edit of an operator.
const requestedMove = ({ key, before, after }: AssignmentChange): readonly RequestedMove[] => {
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

const asksFor = ({ key, before, after }: PoolChange, { vm, to }: RequestedMove): boolean => {
    const had = before?.vms.includes(vm) ?? false;
    const has = after?.vms.includes(vm) ?? false;
    return to === undefined ? had && !has : key === to && has && !had;
};

const describeGuilty = ({ candidate, reason }: Judged, { traffic, toMs }: ExplainInput): readonly string[] => {
    const { edit, revert } = candidate;
    const hasLaterTraffic = (momentMs: number): boolean =>
        toMs > momentMs && traffic.arrivals.some(row => row.minuteMs + MS_PER_MINUTE > momentMs);
    const isOver = revert !== undefined && hasLaterTraffic(Date.parse(revert.at) + PROPAGATION_MS);
    return [
        ...edit.changes.flatMap(describeChange).map(line => `edit ${edit.revision}: ${line}`),
        reason,
        ...(isOver
            ? [`edit ${revert.revision} by ${revert.author.name} took it back; see whether failures remain`]
            : []),
    ];
};
