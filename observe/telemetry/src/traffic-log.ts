import type { PoolName, ProcessId, RouteName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";

/** Labels of a failure or rejection. */
export interface FailureLabels {
    readonly cause: Cause;
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly vm?: VmId | undefined;
    /** Revision that the process used for the request. */
    readonly revision: number;
}

/** Count of the failures with equal labels within one minute. */
export interface FailureRow extends FailureLabels {
    /** Process that recorded the failures. */
    readonly process: ProcessId;
    /** Start of the minute, wall clock in milliseconds. */
    readonly minuteMs: number;
    readonly firstAtMs: number;
    readonly lastAtMs: number;
    readonly count: number;
}

/** Labels of an arriving request. */
export interface ArrivalLabels {
    readonly route: RouteName;
    readonly pool: PoolName;
}

/** Count of the arrivals at one route within one minute. */
export interface ArrivalRow {
    /** Absent in the row that counts all routes above the limit. */
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly process: ProcessId;
    readonly minuteMs: number;
    readonly count: number;
    /** Arrivals in the busiest second of the minute. A burst of a few seconds hardly changes `count`. */
    readonly peakPerSecond: number;
}

/** Failures and arrivals by minute. */
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

/** Process and limits of a traffic log. */
export interface TrafficLogOptions {
    readonly process: ProcessId;
    readonly maxMinutes?: number;
    /**
     * Limit of the failure rows in a minute, and also of the arrival rows. Above it, failures are counted by cause and
     * revision only, and arrivals in a single row.
     */
    readonly maxRowsPerMinute?: number;
}

/** Failures and arrivals of the last minutes in one-minute buckets; input of `explain`. */
export interface TrafficLog {
    readonly process: ProcessId;
    readonly minutes: Minute[];
    readonly maxMinutes: number;
    readonly maxRowsPerMinute: number;
}

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
// 120 minutes of at most 1,000 rows (500 of each kind) of about 150 bytes are 18 MB of the 256 MB that a process may
// use.
const DEFAULT_MAX_MINUTES = 120;
const DEFAULT_MAX_ROWS_PER_MINUTE = 500;

export const createTrafficLog = (options: TrafficLogOptions): TrafficLog => ({
    process: options.process,
    minutes: [],
    maxMinutes: options.maxMinutes ?? DEFAULT_MAX_MINUTES,
    maxRowsPerMinute: options.maxRowsPerMinute ?? DEFAULT_MAX_ROWS_PER_MINUTE,
});

/** Records one failure or rejection. */
export const recordFailure = (log: TrafficLog, labels: FailureLabels, wallClockMs: number): void => {
    const { failures, startMs } = minuteAt(log, wallClockMs);
    const atMs = Math.max(wallClockMs, startMs);
    const cell = failures.get(failureKey(labels)) ?? addFailure(log, failures, labels, atMs);
    cell.count += 1;
    cell.firstAtMs = Math.min(cell.firstAtMs, atMs);
    cell.lastAtMs = Math.max(cell.lastAtMs, atMs);
};

/** Records the arrival of one request. */
export const recordArrival = (log: TrafficLog, labels: ArrivalLabels, wallClockMs: number): void => {
    const { arrivals } = minuteAt(log, wallClockMs);
    const cell = arrivals.get(arrivalKey(labels)) ?? addArrival(log, arrivals, labels);
    const second = Math.floor(wallClockMs / MS_PER_SECOND);
    cell.countInSecond = cell.second === second ? cell.countInSecond + 1 : 1;
    cell.second = second;
    cell.count += 1;
    cell.peakPerSecond = Math.max(cell.peakPerSecond, cell.countInSecond);
};

/** Returns the rows of the minutes that overlap the time range, oldest first. */
export const listTraffic = (log: TrafficLog, fromMs: number, toMs: number): TrafficRows => {
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

// If the wall clock is set back, events are counted in the newest minute, so that the minutes stay in order.
const minuteAt = (log: TrafficLog, atMs: number): Minute => {
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
    log: TrafficLog,
    failures: Map<string, FailureCell>,
    requested: FailureLabels,
    atMs: number,
): FailureCell => {
    const labels: FailureLabels =
        failures.size < log.maxRowsPerMinute
            ? { ...requested }
            : { cause: requested.cause, revision: requested.revision };
    const key = failureKey(labels);
    const existing = failures.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell = { labels, firstAtMs: atMs, lastAtMs: atMs, count: 0 };
    failures.set(key, cell);
    return cell;
};

const addArrival = (log: TrafficLog, arrivals: Map<string, ArrivalCell>, requested: ArrivalLabels): ArrivalCell => {
    const labels: Partial<ArrivalLabels> = arrivals.size < log.maxRowsPerMinute ? { ...requested } : {};
    const key = arrivalKey(labels);
    const existing = arrivals.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell = { labels, count: 0, second: 0, countInSecond: 0, peakPerSecond: 0 };
    arrivals.set(key, cell);
    return cell;
};
