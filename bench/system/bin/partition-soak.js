#!/usr/bin/env node
import { parseArgs } from "node:util";
import { runPartitionSoak } from "../dist/partition-soak.js";

const { values } = parseArgs({
    options: {
        "first-seed": { type: "string", default: "1" },
        seeds: { type: "string", default: "50" },
        dispatchers: { type: "string", default: "3" },
        executors: { type: "string", default: "4" },
        faults: { type: "string", default: "3" },
    },
});
const firstSeed = Number(values["first-seed"]);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed++) {
    const result = await runPartitionSoak({
        seed,
        dispatchers: Number(values.dispatchers),
        executors: Number(values.executors),
        faults: Number(values.faults),
    });
    const failed = result.overlappingRuns + result.startedAfterDone.length + result.unfinished.length > 0;
    console.log(JSON.stringify({ seed, failed, ...result }));
    process.exitCode = failed ? 1 : process.exitCode;
}
