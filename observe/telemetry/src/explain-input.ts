import type { EditRecord } from "@almondusher/fleet/edit";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { Cause } from "@almondusher/fleet/verdict";
import type { Vm } from "@almondusher/fleet/vm";
import type { FailureRow, TrafficRows } from "./failure-log.js";
import type { RevisionUseRow } from "./revision-use.js";
import type { Subject, SubjectScope } from "./subject-scope.js";

/** Everything that an explanation is derived from. */
export interface ExplainInput {
    readonly subject: Subject;
    /** Wall clock in milliseconds. */
    readonly fromMs: number;
    readonly toMs: number;
    /** Accepted edits, oldest first; those before `fromMs` help to tell what a drain was for. */
    readonly history: readonly EditRecord[];
    /** State at `toMs`. */
    readonly state: FleetState;
    /** Rows of all processes and all subjects; minutes before `fromMs` serve as the comparison. */
    readonly traffic: TrafficRows;
    readonly uses: readonly RevisionUseRow[];
    /** Places of the VMs, to recognise the failure of a rack or data centre. */
    readonly vms?: readonly Vm[] | undefined;
}

/** The failures of one cause that happened to the subject. */
export interface FailureGroup {
    readonly cause: Cause;
    /** Within the time asked about. */
    readonly rows: readonly FailureRow[];
    /** Including the time before. */
    readonly allRows: readonly FailureRow[];
    readonly count: number;
    readonly firstAtMs: number;
    readonly lastAtMs: number;
}

/** What the rules are given. */
export interface RuleInput {
    readonly group: FailureGroup;
    readonly scope: SubjectScope;
    readonly input: ExplainInput;
}

/** Length of a bucket of the failure log. */
export const MS_PER_MINUTE = 60_000;
/** Time before an event that it is compared with. */
export const LOOKBACK_MS = 15 * MS_PER_MINUTE;

/** Sum of the counts. */
export const countRows = (rows: readonly { readonly count: number }[]): number =>
    rows.reduce((sum, row) => sum + row.count, 0);

/** Time as it is printed in evidence. */
export const formatTime = (ms: number): string => new Date(ms).toISOString();

/** A rate as it is printed in evidence. */
export const formatRate = (perMinute: number): string => `${Number(perMinute.toPrecision(2))} a minute`;
