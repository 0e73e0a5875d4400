import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { PartitionSoakResult } from "./partition-soak.js";

type TracedResult = Pick<
    PartitionSoakResult,
    "overlappingRuns" | "startedAfterDone" | "startedByFormerLife" | "stalled" | "unfinished" | "decisions"
>;

/** Where the trace of a soak was written, and its first lines. */
export interface SoakTrace {
    readonly folder: string;
    readonly firstLines: readonly string[];
}

const MAX_TRACE_LINES = 5000;
const MAX_LOG_LINES = 100_000;
const MAX_FIRST_LINES = 80;

/**
 * Writes the decisions and runs of the tasks that a soak names to a new folder of the system's temporary directory, and next
 * to them those of all tasks. Returns undefined if the soak names none.
 */
export const writeSoakTrace = (label: string, result: TracedResult): SoakTrace | undefined => {
    const names = namedTasks(result);
    if (names.length === 0) {
        return undefined;
    }
    const lines = result.decisions.filter(line => names.some(name => line.includes(name))).slice(0, MAX_TRACE_LINES);
    const folder = mkdtempSync(join(tmpdir(), `almondusher-soak-${label}-`));
    writeFileSync(join(folder, "named-tasks.txt"), lines.join("\n"));
    writeFileSync(join(folder, "all.txt"), result.decisions.slice(-MAX_LOG_LINES).join("\n"));
    return { folder, firstLines: lines.slice(0, MAX_FIRST_LINES) };
};

// A stall begins with its task; an unfinished job is named by its id, with which the names of its tasks begin.
const namedTasks = ({
    overlappingRuns,
    startedAfterDone,
    startedByFormerLife,
    stalled,
    unfinished,
}: TracedResult): readonly string[] => [
    ...new Set([
        ...overlappingRuns,
        ...startedAfterDone,
        ...startedByFormerLife,
        ...stalled.map(stall => stall.split(" ")[0] ?? stall),
        ...unfinished,
    ]),
];
