import type { Author, EditRecord } from "@almondusher/fleet/edit";
import { describeChange } from "./edit-effects.js";
import { assessEdits } from "./edit-rule.js";
import { attributeToEndpoints, attributeToLostCapacity } from "./endpoint-rule.js";
import { sumCounts, type ExplainInput, type FailureGroup, formatTime, type RuleContext } from "./explain-input.js";
import type { FailureRow } from "./traffic-log.js";
import type { Attribution, Fault, Finding } from "./fault.js";
import { assessLoad } from "./overload-rule.js";
import { adoptionTime, firstUses } from "./revision-use.js";
import { belongsToSubject, type Subject, subjectScope, type SubjectScope, affectsSubject } from "./subject-scope.js";

/** An edit that affects the subject. */
interface EditSummary {
    readonly revision: number;
    readonly author: Author;
    /** Time of the edit by the author's clock, ISO 8601. */
    readonly at: string;
    readonly reason: string;
    readonly changes: readonly string[];
    /** When the first process started to use the edit, ISO 8601; absent if no process reported it. */
    readonly firstUsedAt: string | undefined;
    /** When the last process started to use the edit, ISO 8601. */
    readonly lastUsedAt: string | undefined;
}

/** The edits that affect a subject, its failures by cause, and what each cause is attributed to. */
export interface Explanation {
    readonly subject: Subject;
    readonly from: string;
    readonly to: string;
    readonly edits: readonly EditSummary[];
    /** Most frequent cause first. */
    readonly findings: readonly Finding[];
    /**
     * Fault of the most frequent cause that is not attributed to the caller; `caller` if all are, absent if nothing
     * failed.
     */
    readonly fault: Fault | undefined;
}

/**
 * Attributes the failures of a route, pool or VM within a time range. For each cause the first rule that applies
 * decides:
 *
 * 1. `bad-request`, `cancelled` and `upgrade` are attributed to the caller.
 * 2. Capacity (`queue-full`, `deadline`, `no-capacity`, `quota`, `no-vm`): attributed to overload if the peak rate
 *    of arrivals at the pool was at least 25% above the highest one served in the 15 minutes before. This rule is
 *    skipped if rule 3 finds an edit responsible that changed a route, since the edit may be the reason for the
 *    additional arrivals.
 * 3. An edit is responsible if all of the following hold:
 *    - It affects the subject and alters a field that is able to produce the cause.
 *    - The failures started within 10 s of its first use, or within 70 s for capacity, since queues must fill first.
 *      If no requests arrived directly after the first use, this time starts at the end of the first minute with
 *      arrivals.
 *    - The failure rate within that time is at least a third of the rate of all failures after the edit.
 *    - In the 5 minutes before the edit, the same cause occurred at less than half the later rate.
 *
 *    Failures after a revert of the edit are not attributed to it. For an edit that adds the subject there are
 *    no earlier failures to compare with, so it is considered only for the causes that the fleet tables alone determine
 *    (`no-route`, `no-vm`, `too-large`, `quota`). Any other edit is considered only if something was recorded before
 *    its first use. If the manager made the responsible edit, the failures are attributed to the operator's edit that
 *    requested the move of the VM. Without such an edit they are attributed to the system, except for endpoint causes,
 *    on which rule 5 decides.
 * 4. `platform-unavailable` is attributed to the platform.
 * 5. Endpoints (`connect-failed`, `connection-lost`, `bad-answer`, `endpoint-refused`, `retry-budget`): if at least
 *    80% of the failures are on one VM, attributed to that VM; if at least 95% were recorded by one of several entries,
 *    to the system; if all VMs with failures are in one rack or in one of several data centres, to these VMs. Otherwise
 *    `endpoint-refused` is attributed to the system, since it means that more slots were granted than exist.
 * 6. `internal`, `not-ready` and `stopping` are attributed to the system.
 * 7. Capacity failures after VMs of the pool failed are attributed to these VMs.
 * 8. `too-large`, `no-route`, `claim-held`, `claim-ran` and `claim-mismatch` are attributed to the caller if no edit is
 *    responsible. Everything else is undetermined; the evidence then lists what was excluded.
 */
export const explain = (input: ExplainInput): Explanation => {
    const scope = subjectScope(input);
    const findings = groupFailures(input, scope)
        .map(group => createFinding({ group, scope, input }))
        .filter(finding => !isUnrelated(finding))
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

// A request that matched no route belongs to this subject only if an edit is responsible for the missing match.
const isUnrelated = ({ cause, fault }: Finding): boolean => cause === "no-route" && fault.kind === "caller";

const groupFailures = (input: ExplainInput, scope: SubjectScope): readonly FailureGroup[] => {
    const all = input.traffic.failures.filter(row => belongsToSubject(row, scope) && row.firstAtMs <= input.toMs);
    const within = all.filter(row => row.lastAtMs >= input.fromMs);
    const causes = [...new Set(within.map(row => row.cause))];
    return causes.map(cause => {
        const rows = within.filter(row => row.cause === cause);
        return {
            cause,
            rows,
            allRows: all.filter(row => row.cause === cause),
            count: sumCounts(rows),
            firstAtMs: rows.reduce((left, row) => Math.min(left, row.firstAtMs), Infinity),
            lastAtMs: rows.reduce((left, row) => Math.max(left, row.lastAtMs), 0),
        };
    });
};

const createFinding = (context: RuleContext): Finding => {
    const { cause, rows, count, firstAtMs, lastAtMs } = context.group;
    const { fault, evidence } = attributeGroup(context);
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

const attributeGroup = (context: RuleContext): Attribution => {
    const { cause } = context.group;
    switch (cause) {
        case "bad-request":
        case "cancelled":
        case "upgrade":
            return { fault: { kind: "caller" }, evidence: [`${cause} depends only on the request`] };
        case "queue-full":
        case "deadline":
        case "no-capacity":
        case "quota":
        case "no-vm":
            return attributeCapacityFailures(context);
        case "platform-unavailable":
            return attributeToEditOr(context, "platform", "the entries could not reach the platform's table service");
        case "internal":
        case "not-ready":
        case "stopping":
            return attributeToEditOr(context, "system", `${cause} arises in an entry, not in a table or an endpoint`);
        case "connect-failed":
        case "connection-lost":
        case "bad-answer":
        case "endpoint-refused":
        case "retry-budget":
            return attributeEndpointFailures(context);
        case "too-large":
        case "claim-held":
        case "claim-ran":
        case "claim-mismatch":
            return attributeToEditOr(
                context,
                "caller",
                `${cause} follows from the request, and no edit that could produce it is responsible`,
            );
        case "no-route":
            return attributeToEditOr(
                context,
                "caller",
                "no edit that changed which requests the routes match is responsible",
            );
    }
};

const attributeToEditOr = (
    context: RuleContext,
    kind: "platform" | "system" | "caller",
    reason: string,
): Attribution => {
    const edits = assessEdits(context);
    return edits.attribution ?? { fault: { kind }, evidence: [reason, ...edits.exclusions] };
};

const attributeCapacityFailures = (context: RuleContext): Attribution => {
    const edits = assessEdits(context);
    const load = assessLoad(context);
    if (load.attribution !== undefined && !edits.changesRouting) {
        const coincidentEdits = edits.attribution?.evidence.map(line => `at the same time: ${line}`) ?? [];
        return { fault: load.attribution.fault, evidence: [...load.evidence, ...coincidentEdits, ...edits.exclusions] };
    }
    const found = edits.attribution ?? attributeToLostCapacity(context);
    return found === undefined
        ? {
              fault: { kind: "undetermined" },
              evidence: [...load.evidence, describeExaminedEdits(edits.exclusions), ...edits.exclusions],
          }
        : { fault: found.fault, evidence: [...found.evidence, ...load.evidence, ...edits.exclusions] };
};

const attributeEndpointFailures = (context: RuleContext): Attribution => {
    const edits = assessEdits(context);
    const found = edits.attribution ?? attributeToEndpoints(context);
    if (found !== undefined) {
        return { fault: found.fault, evidence: [...found.evidence, ...edits.exclusions] };
    }
    const rest = [describeExaminedEdits(edits.exclusions), ...edits.exclusions];
    return context.group.cause === "endpoint-refused"
        ? {
              fault: { kind: "system" },
              evidence: ["several VMs refused requests: more slots were granted than exist", ...rest],
          }
        : {
              fault: { kind: "undetermined" },
              evidence: [
                  "the failures are not confined to one VM, rack, data centre or entry, as far as known",
                  ...rest,
              ],
          };
};

const describeExaminedEdits = (exclusions: readonly string[]): string =>
    exclusions.length === 0
        ? "no edit that could produce this cause affected the subject"
        : `${exclusions.length} edit(s) that could produce this cause were examined; none is responsible`;

const summarizeEdits = (input: ExplainInput, scope: SubjectScope): readonly EditSummary[] =>
    input.history
        .filter(edit => edit.changes.some(change => affectsSubject(change, scope)))
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
        changes: edit.changes.filter(change => affectsSubject(change, scope)).flatMap(describeChange),
        firstUsedAt: first === undefined ? undefined : formatTime(first),
        lastUsedAt: last === undefined ? undefined : formatTime(last),
    };
};
