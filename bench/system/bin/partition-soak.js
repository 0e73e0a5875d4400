#!/usr/bin/env node
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { findWorkload, runPartitionSoak } from "../dist/partition-soak.js";
import { hasFailed, sumSoaks } from "../dist/soak-totals.js";

const { values } = parseArgs({
    options: {
        "first-seed": { type: "string", default: "1" },
        seeds: { type: "string", default: "50" },
        dispatchers: { type: "string", default: "3" },
        executors: { type: "string", default: "4" },
        faults: { type: "string", default: "3" },
        // Directory for the logs of the dispatchers, one file for each failed seed.
        logs: { type: "string" },
        workload: { type: "string", default: "mixed" },
    },
});
const workload = findWorkload(values.workload);
if (workload === undefined) {
    console.error(`There is no workload ${values.workload}. Use plain, mixed, restarts or removals.`);
    process.exit(2);
}
const results = [];
const firstSeed = Number(values["first-seed"]);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed++) {
    const { decisions, ...result } = await runPartitionSoak({
        seed,
        dispatchers: Number(values.dispatchers),
        executors: Number(values.executors),
        faults: Number(values.faults),
        workload,
    });
    const failed = hasFailed(result);
    results.push(result);
    if (failed && values.logs !== undefined) {
        mkdirSync(values.logs, { recursive: true });
        writeFileSync(join(values.logs, `seed-${seed}.txt`), decisions.join("\n"));
    }
    console.log(JSON.stringify({ seed, failed, ...result }));
    process.exitCode = failed ? 1 : process.exitCode;
}
console.log(JSON.stringify({ totals: sumSoaks(results) }));
