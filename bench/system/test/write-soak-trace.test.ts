import assert from "node:assert/strict";
import { readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import test from "node:test";
import { writeSoakTrace } from "@almondusher/system-bench/write-soak-trace";

const CLEAN = { overlappingRuns: [], startedAfterDone: [], startedByFormerLife: [], stalled: [], unfinished: [] };
const MAX_TRACE_LINES = 5000;

// A failure of a soak in the CI script could not be traced, since nothing was kept of it.
test("the decisions and runs of each task that a soak names are kept, up to a bound", context => {
    const many = Array.from({ length: 2 * MAX_TRACE_LINES }, (unused, index) => `${index} b.0.0.1`);
    const result = {
        overlappingRuns: ["a.0.0.0"],
        startedAfterDone: ["a.0.0.1"],
        startedByFormerLife: ["d.0.0.0"],
        stalled: ["a.0.0.2 waited from 1.00 for 3.10 s"],
        unfinished: ["b"],
        decisions: ["1 a.0.0.0", "2 a.0.0.1", "3 a.0.0.2", "4 c.0.0.0", "5 d.0.0.0", ...many],
    };
    const trace = writeSoakTrace("test", result);
    assert.ok(trace !== undefined);
    context.after(() => rmSync(trace.folder, { recursive: true }));
    const lines = readFileSync(join(trace.folder, "named-tasks.txt"), "utf8").split("\n");
    assert.deepEqual(lines.slice(0, 5), ["1 a.0.0.0", "2 a.0.0.1", "3 a.0.0.2", "5 d.0.0.0", "0 b.0.0.1"]);
    assert.equal(lines.length, MAX_TRACE_LINES);
    assert.deepEqual(trace.firstLines.slice(0, 3), lines.slice(0, 3));
    assert.ok(readFileSync(join(trace.folder, "all.txt"), "utf8").includes("4 c.0.0.0"));
});

test("a soak that names no task leaves no trace", () => {
    assert.equal(writeSoakTrace("test", { ...CLEAN, decisions: ["1 a.0.0.0"] }), undefined);
});
