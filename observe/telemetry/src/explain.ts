import type { Author, EditRecord } from "@almondusher/fleet/edit";
import { describeChange } from "./edit-effects.js";
import { judgeEdits } from "./edit-rule.js";
import { judgeEndpoints, judgeLostCapacity } from "./endpoint-rule.js";
import { countRows, type ExplainInput, type FailureGroup, formatTime, type RuleInput } from "./explain-input.js";
import type { FailureRow } from "./failure-log.js";
import type { Attribution, Fault, Finding } from "./fault.js";
import { judgeLoad } from "./overload-rule.js";
import { adoptionTime, firstUses } from "./revision-use.js";
import { concernsSubject, type Subject, subjectScope, type SubjectScope, touchesSubject } from "./subject-scope.js";

/** An edit that touches the subject. */
interface EditSummary {
    readonly revision: number;
    readonly author: Author;
    /** Time in the record, by the author's clock. */
    readonly at: string;
    readonly reason: string;
    readonly changes: readonly string[];
    /** ISO 8601; absent if no process reported the adoption. */
    readonly firstUsedAt: string | undefined;
    readonly lastUsedAt: string | undefined;
}

/** What changed, who changed it, what failed, and what explains it. */
export interface Explanation {
    readonly subject: Subject;
    readonly from: string;
    readonly to: string;
    readonly edits: readonly EditSummary[];
    /** Most frequent cause first. */
    readonly findings: readonly Finding[];
    /** Fault of most failures; absent if nothing failed. */
    readonly fault: Fault | undefined;
}

/**
 * Explains the failures of a route, pool or VM within a time. For each cause the first rule that applies decides:
 *
 * 1. Causes of the caller (`bad-request`, `cancelled`, `upgrade`) point to the caller.
 * 2. Capacity (`queue-full`, `deadline`, `no-capacity`, `quota`, `no-vm`): if arrivals at the pool rose by a quarter
 *    above anything served in the 15 minutes before, and no edit of a route brought that work, it is overload.
 * 3. An edit is at fault if it touches the subject, alters a field that is able to produce the cause, the failures
 *    started within 10 s of its first use (70 s for capacity, since queues must fill first; with the first arrivals
 *    if there were none), and failures in the 5 minutes before it were fewer than half as frequent. The same cause at
 *    half the rate or more before the edit acquits it. Failures after the edit was taken back are not its own. An edit that adds the subject is judged only for causes that
 *    follow from the tables alone, since there is no time before it to compare with. Edits of the manager count as the operator's edit that moved the VM, otherwise
 *    as the system.
 * 4. `platform-unavailable` points to the platform.
 * 5. Endpoints (`connect-failed`, `connection-lost`, `bad-answer`, `endpoint-refused`, `retry-budget`): 80% on one VM
 *    points to that VM, all in one rack or data centre to its VMs; several VMs seen by one of several entries point to
 *    the system, and `endpoint-refused` on several VMs does too, since it means that slots were given out twice.
 * 6. `internal`, `not-ready` and `stopping` point to the system.
 * 7. Capacity that fell short after VMs of the pool failed points to those VMs.
 * 8. `too-large` and the claim causes, if no edit explains them, point to the caller. All else is undetermined, and
 *    the evidence says what was excluded.
 */
export const explain = (input: ExplainInput): Explanation => {
    const scope = subjectScope(input);
    const findings = groupFailures(input, scope)
        .map(group => judgeGroup({ group, scope, input }))
        .filter(finding => !isForeign(finding))
        .sort((left, right) => right.count - left.count);
    return {
        subject: input.subject,
        from: formatTime(input.fromMs),
        to: formatTime(input.toMs),
        edits: summarizeEdits(input, scope),
        findings,
        fault: (findings.find(finding => finding.fault.kind !== "caller") ?? findings[0])?.fault,
    };
};

// Requests that never had a route concern this one only if an edit took them away from it.
const isForeign = ({ cause, fault }: Finding): boolean => cause === "no-route" && fault.kind === "caller";

const groupFailures = (input: ExplainInput, scope: SubjectScope): readonly FailureGroup[] => {
    const all = input.traffic.failures.filter(row => concernsSubject(row, scope) && row.firstAtMs <= input.toMs);
    const within = all.filter(row => row.lastAtMs >= input.fromMs);
    const causes = [...new Set(within.map(row => row.cause))];
    return causes.map(cause => {
        const rows = within.filter(row => row.cause === cause);
        return {
            cause,
            rows,
            allRows: all.filter(row => row.cause === cause),
            count: countRows(rows),
            firstAtMs: rows.reduce((left, row) => Math.min(left, row.firstAtMs), Infinity),
            lastAtMs: rows.reduce((left, row) => Math.max(left, row.lastAtMs), 0),
        };
    });
};

const judgeGroup = (rule: RuleInput): Finding => {
    const { cause, rows, count, firstAtMs, lastAtMs } = rule.group;
    const { fault, evidence } = attribute(rule);
    const revisions = rows.map((row: FailureRow) => row.revision);
    return {
        cause,
        count,
        firstAt: formatTime(firstAtMs),
        lastAt: formatTime(lastAtMs),
        firstRevision: Math.min(...revisions),
        lastRevision: Math.max(...revisions),
        fault,
        evidence,
    };
};

const attribute = (rule: RuleInput): Attribution => {
    const { cause } = rule.group;
    switch (cause) {
        case "bad-request":
        case "cancelled":
        case "upgrade":
            return { fault: { kind: "caller" }, evidence: [`${cause} depends on the request alone`] };
        case "queue-full":
        case "deadline":
        case "no-capacity":
        case "quota":
        case "no-vm":
            return attributeCapacity(rule);
        case "platform-unavailable":
            return attributeTo(rule, "platform", "the entries could not reach the platform's table service");
        case "internal":
        case "not-ready":
        case "stopping":
            return attributeTo(rule, "system", `${cause} is decided by an entry, not by a table or an endpoint`);
        case "connect-failed":
        case "connection-lost":
        case "bad-answer":
        case "endpoint-refused":
        case "retry-budget":
            return attributeEndpoint(rule);
        case "too-large":
        case "claim-held":
        case "claim-ran":
        case "claim-mismatch":
            return attributeTo(rule, "caller", `${cause} follows from the request, and no edit changed the limit`);
        case "no-route":
            return attributeTo(rule, "caller", "no edit changed which requests the routes take");
    }
};

const attributeTo = (rule: RuleInput, kind: "platform" | "system" | "caller", reason: string): Attribution => {
    const edits = judgeEdits(rule);
    return edits.attribution ?? { fault: { kind }, evidence: [reason, ...edits.acquittals] };
};

const attributeCapacity = (rule: RuleInput): Attribution => {
    const edits = judgeEdits(rule);
    const load = judgeLoad(rule);
    if (load.attribution !== undefined && !edits.movesWork) {
        const coincident = edits.attribution?.evidence.map(line => `at the same time: ${line}`) ?? [];
        return { fault: load.attribution.fault, evidence: [...load.evidence, ...coincident, ...edits.acquittals] };
    }
    const found = edits.attribution ?? judgeLostCapacity(rule);
    return found === undefined
        ? {
              fault: { kind: "undetermined" },
              evidence: [...load.evidence, noEdit(edits.acquittals), ...edits.acquittals],
          }
        : { fault: found.fault, evidence: [...found.evidence, ...load.evidence, ...edits.acquittals] };
};

const attributeEndpoint = (rule: RuleInput): Attribution => {
    const edits = judgeEdits(rule);
    const found = edits.attribution ?? judgeEndpoints(rule);
    if (found !== undefined) {
        return { fault: found.fault, evidence: [...found.evidence, ...edits.acquittals] };
    }
    const rest = [noEdit(edits.acquittals), ...edits.acquittals];
    return rule.group.cause === "endpoint-refused"
        ? {
              fault: { kind: "system" },
              evidence: ["several VMs refused: more slots were given out than exist", ...rest],
          }
        : {
              fault: { kind: "undetermined" },
              evidence: ["the failures are spread over VMs in several places", ...rest],
          };
};

const noEdit = (acquittals: readonly string[]): string =>
    acquittals.length === 0
        ? "no edit that could produce this touched the subject"
        : `${acquittals.length} edit(s) that could produce this were examined`;

const summarizeEdits = (input: ExplainInput, scope: SubjectScope): readonly EditSummary[] =>
    input.history
        .filter(edit => edit.changes.some(change => touchesSubject(change, scope)))
        .filter(edit => isWithin(input, adoptionTime(edit, input.uses)))
        .map(edit =>
            summarizeEdit(
                edit,
                scope,
                firstUses(input.uses, edit.revision).map(use => use.sinceMs),
            ),
        );

const isWithin = ({ fromMs, toMs }: ExplainInput, momentMs: number): boolean => momentMs >= fromMs && momentMs <= toMs;

const summarizeEdit = (edit: EditRecord, scope: SubjectScope, usedMs: readonly number[]): EditSummary => {
    const first = usedMs[0];
    const last = usedMs.at(-1);
    return {
        revision: edit.revision,
        author: edit.author,
        at: edit.at,
        reason: edit.reason,
        changes: edit.changes.filter(change => touchesSubject(change, scope)).flatMap(describeChange),
        firstUsedAt: first === undefined ? undefined : formatTime(first),
        lastUsedAt: last === undefined ? undefined : formatTime(last),
    };
};
