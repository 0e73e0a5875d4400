import { readFileSync } from "node:fs";

/** Resource usage of a process since its start. */
export interface ProcessUsage {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    /** Bytes read and written by system calls, sockets included. */
    readonly readBytes: number;
    readonly writtenBytes: number;
    readonly atMs: number;
}

/** Average resource usage over an interval. */
export interface UsageRate {
    /** CPU time per elapsed time; 1 is one full core. */
    readonly coreShare: number;
    readonly residentBytes: number;
    readonly readBytesPerSecond: number;
    readonly writtenBytesPerSecond: number;
}

// USER_HZ, the unit of CPU times in /proc/PID/stat.
const TICKS_PER_SECOND = 100;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

const readField = (text: string, name: string): number =>
    Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1]);

/** Reads the resource usage of a process from /proc. */
export const readUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // Fields are counted after the command name in parentheses, which may contain spaces.
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

/** Average resource usage between two readings of the same process. */
export const usageRate = (before: ProcessUsage, after: ProcessUsage): UsageRate => {
    const seconds = (after.atMs - before.atMs) / 1000;
    return {
        coreShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
        residentBytes: after.residentBytes,
        readBytesPerSecond: (after.readBytes - before.readBytes) / seconds,
        writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds,
    };
};
