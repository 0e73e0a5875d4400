import type { EditRecord } from "@almondusher/fleet/edit";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { Cause } from "@almondusher/fleet/verdict";
import type { Vm } from "@almondusher/fleet/vm";
import type { FailureRow, TrafficRows } from "./traffic-log.js";
import type { RevisionUseRow } from "./revision-use.js";
import type { Subject, SubjectScope } from "./subject-scope.js";

/** The subject and time range to explain, and the recorded data from which `explain` attributes the failures. */
export interface ExplainInput {
    readonly subject: Subject;
    /** Start and end of the time range, wall clock in milliseconds. */
    readonly fromMs: number;
    readonly toMs: number;
    /**
     * Accepted edits, oldest first. Edits before `fromMs` are included, since they may be responsible for the failures or
     * have requested a move that the manager carried out later.
     */
    readonly history: readonly EditRecord[];
    /** Fleet state at `toMs`. */
    readonly state: FleetState;
    /** Rows of all processes and all subjects, including the minutes before `fromMs` for comparison. */
    readonly traffic: TrafficRows;
    /** When each process started to use each revision. */
    readonly uses: readonly RevisionUseRow[];
    /** Racks and data centres of the VMs, to detect the failure of a whole rack or data centre. */
    readonly vms?: readonly Vm[] | undefined;
}

/** The failures of the subject with one cause. */
export interface FailureGroup {
    readonly cause: Cause;
    /** Rows within the time range. */
    readonly rows: readonly FailureRow[];
    /** Rows within the time range and before it. */
    readonly allRows: readonly FailureRow[];
    /** Failures in `rows`. */
    readonly count: number;
    readonly firstAtMs: number;
    readonly lastAtMs: number;
}

/** What a rule decides on: the failures with one cause, the scope of the subject, and all recorded data. */
export interface RuleContext {
    readonly group: FailureGroup;
    readonly scope: SubjectScope;
    readonly input: ExplainInput;
}

/** Length of one bucket of the traffic log. */
export const MS_PER_MINUTE = 60_000;
/** Length of the time before an event that is compared with the time after it. */
export const LOOKBACK_MS = 15 * MS_PER_MINUTE;

export const sumCounts = (rows: readonly { readonly count: number }[]): number =>
    rows.reduce((sum, row) => sum + row.count, 0);

/** Formats a time for evidence. */
export const formatTime = (ms: number): string => new Date(ms).toISOString();

/** Formats a rate for evidence. */
export const formatRate = (perMinute: number): string => `${Number(perMinute.toPrecision(2))} a minute`;
