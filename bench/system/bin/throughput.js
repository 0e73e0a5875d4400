#!/usr/bin/env node
import { parseArgs } from "node:util";
import { runThroughput } from "../dist/throughput.js";

const { values } = parseArgs({
    options: {
        entries: { type: "string", default: "1" },
        rounds: { type: "string", default: "5" },
        seconds: { type: "string", default: "4" },
        concurrency: { type: "string", default: "32" },
        workload: { type: "string", multiple: true, default: ["small", "streams"] },
    },
});
await runThroughput({
    entries: Number(values.entries),
    rounds: Number(values.rounds),
    durationMs: Number(values.seconds) * 1000,
    concurrency: Number(values.concurrency),
    workloads: values.workload,
});
