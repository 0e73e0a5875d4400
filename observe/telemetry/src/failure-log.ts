import type { PoolName, ProcessId, RouteName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";

/** What a failure or rejection belongs to. */
export interface FailureLabels {
    readonly cause: Cause;
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly vm?: VmId | undefined;
    /** Revision that the process used when it decided. */
    readonly revision: number;
}

/** Failures with equal labels within one minute. */
export interface FailureRow extends FailureLabels {
    /** Process that counted them. */
    readonly process: ProcessId;
    /** Start of the minute, wall clock in milliseconds. */
    readonly minuteMs: number;
    readonly firstAtMs: number;
    readonly lastAtMs: number;
    readonly count: number;
}

/** What an arriving request belongs to. */
export interface ArrivalLabels {
    readonly route: RouteName;
    readonly pool: PoolName;
}

/** Arrivals at one route within one minute. */
export interface ArrivalRow {
    /** Absent in the row that collects the routes beyond the bound. */
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly process: ProcessId;
    readonly minuteMs: number;
    readonly count: number;
    /** Arrivals in the busiest second of the minute; a burst of seconds hardly shows in the count. */
    readonly peakPerSecond: number;
}

/** Failures and arrivals of the last minutes. */
export interface TrafficRows {
    readonly failures: readonly FailureRow[];
    readonly arrivals: readonly ArrivalRow[];
}

interface FailureCell {
    readonly labels: FailureLabels;
    firstAtMs: number;
    lastAtMs: number;
    count: number;
}

interface ArrivalCell {
    readonly labels: Partial<ArrivalLabels>;
    count: number;
    second: number;
    countInSecond: number;
    peakPerSecond: number;
}

interface Minute {
    readonly startMs: number;
    readonly failures: Map<string, FailureCell>;
    readonly arrivals: Map<string, ArrivalCell>;
}

/** Bounds of a failure log. */
export interface FailureLogOptions {
    readonly process: ProcessId;
    readonly maxMinutes?: number;
    /** Rows of each kind within a minute; labels seen after that share rows by cause and revision. */
    readonly maxRowsPerMinute?: number;
}

/** Time series of failures and arrivals by minute, for `explain`. */
export interface FailureLog {
    readonly process: ProcessId;
    readonly minutes: Minute[];
    readonly maxMinutes: number;
    readonly maxRowsPerMinute: number;
}

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
// At most 120 minutes of 1,000 rows of about 150 bytes, 18 MB of the 256 MB that a daemon may use.
const DEFAULT_MAX_MINUTES = 120;
const DEFAULT_MAX_ROWS_PER_MINUTE = 500;

/** Creates an empty log. */
export const createFailureLog = (options: FailureLogOptions): FailureLog => ({
    process: options.process,
    minutes: [],
    maxMinutes: options.maxMinutes ?? DEFAULT_MAX_MINUTES,
    maxRowsPerMinute: options.maxRowsPerMinute ?? DEFAULT_MAX_ROWS_PER_MINUTE,
});

/** Records one failure or rejection. */
export const recordFailure = (log: FailureLog, labels: FailureLabels, wallClockMs: number): void => {
    const { failures, startMs } = minuteAt(log, wallClockMs);
    const atMs = Math.max(wallClockMs, startMs);
    const cell = failures.get(failureKey(labels)) ?? addFailure(log, failures, labels, atMs);
    cell.count += 1;
    cell.firstAtMs = Math.min(cell.firstAtMs, atMs);
    cell.lastAtMs = Math.max(cell.lastAtMs, atMs);
};

/** Records the arrival of one request. */
export const recordArrival = (log: FailureLog, labels: ArrivalLabels, wallClockMs: number): void => {
    const { arrivals } = minuteAt(log, wallClockMs);
    const cell = arrivals.get(arrivalKey(labels)) ?? addArrival(log, arrivals, labels);
    const second = Math.floor(wallClockMs / MS_PER_SECOND);
    cell.countInSecond = cell.second === second ? cell.countInSecond + 1 : 1;
    cell.second = second;
    cell.count += 1;
    cell.peakPerSecond = Math.max(cell.peakPerSecond, cell.countInSecond);
};

/** The rows of the minutes that overlap the given time, oldest first. */
export const listTraffic = (log: FailureLog, fromMs: number, toMs: number): TrafficRows => {
    const minutes = log.minutes.filter(minute => minute.startMs + MS_PER_MINUTE > fromMs && minute.startMs <= toMs);
    return {
        failures: minutes.flatMap(minute =>
            [...minute.failures.values()].map(({ labels, ...counts }) => ({
                ...labels,
                ...counts,
                process: log.process,
                minuteMs: minute.startMs,
            })),
        ),
        arrivals: minutes.flatMap(minute =>
            [...minute.arrivals.values()].map(({ labels, count, peakPerSecond }) => ({
                ...labels,
                count,
                peakPerSecond,
                process: log.process,
                minuteMs: minute.startMs,
            })),
        ),
    };
};

// The wall clock may be set back; events are then counted in the newest minute, so that order is kept.
const minuteAt = (log: FailureLog, atMs: number): Minute => {
    const newest = log.minutes.at(-1);
    if (newest !== undefined && atMs < newest.startMs + MS_PER_MINUTE) {
        return newest;
    }
    const added: Minute = {
        startMs: Math.floor(atMs / MS_PER_MINUTE) * MS_PER_MINUTE,
        failures: new Map(),
        arrivals: new Map(),
    };
    log.minutes.push(added);
    if (log.minutes.length > log.maxMinutes) {
        log.minutes.shift();
    }
    return added;
};

const failureKey = ({ cause, route, pool, vm, revision }: FailureLabels): string =>
    `${cause}|${route ?? ""}|${pool ?? ""}|${vm ?? ""}|${revision}`;

const arrivalKey = ({ route, pool }: Partial<ArrivalLabels>): string => `${route ?? ""}|${pool ?? ""}`;

const addFailure = (
    log: FailureLog,
    failures: Map<string, FailureCell>,
    wanted: FailureLabels,
    atMs: number,
): FailureCell => {
    const labels: FailureLabels =
        failures.size < log.maxRowsPerMinute ? { ...wanted } : { cause: wanted.cause, revision: wanted.revision };
    const key = failureKey(labels);
    const existing = failures.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell = { labels, firstAtMs: atMs, lastAtMs: atMs, count: 0 };
    failures.set(key, cell);
    return cell;
};

const addArrival = (log: FailureLog, arrivals: Map<string, ArrivalCell>, wanted: ArrivalLabels): ArrivalCell => {
    const labels: Partial<ArrivalLabels> = arrivals.size < log.maxRowsPerMinute ? { ...wanted } : {};
    const key = arrivalKey(labels);
    const existing = arrivals.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell = { labels, count: 0, second: 0, countInSecond: 0, peakPerSecond: 0 };
    arrivals.set(key, cell);
    return cell;
};
