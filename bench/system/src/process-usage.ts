import { readFileSync } from "node:fs";

/** What a process has used since its start. */
export interface ProcessUsage {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    /** Bytes read and written, sockets included. */
    readonly readBytes: number;
    readonly writtenBytes: number;
    readonly atMs: number;
}

/** Average use over a time. */
export interface UsageRate {
    /** Share of one core, 0 to 1 and more. */
    readonly coreShare: number;
    readonly residentBytes: number;
    readonly readBytesPerSecond: number;
    readonly writtenBytesPerSecond: number;
}

// The kernel counts processor time in these units.
const TICKS_PER_SECOND = 100;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

const readField = (text: string, name: string): number =>
    Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1]);

/** Reads the counters that the kernel keeps for a process. */
export const readUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The name in parentheses may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
        cpuSeconds: (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND,
        residentBytes: readField(status, "VmRSS") * 1024,
        readBytes: readField(io, "rchar"),
        writtenBytes: readField(io, "wchar"),
        atMs: performance.now(),
    };
};

/** The average use between two readings of the same process. */
export const usageRate = (before: ProcessUsage, after: ProcessUsage): UsageRate => {
    const seconds = (after.atMs - before.atMs) / 1000;
    return {
        coreShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
        residentBytes: after.residentBytes,
        readBytesPerSecond: (after.readBytes - before.readBytes) / seconds,
        writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds,
    };
};
