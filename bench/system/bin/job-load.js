#!/usr/bin/env node
import { parseArgs } from "node:util";
import { runJobLoad } from "../dist/job-load.js";

const { values } = parseArgs({
    options: {
        executors: { type: "string", default: "30" },
        "jobs-per-second": { type: "string", default: "20" },
        "tasks-per-step": { type: "string", default: "8" },
        "run-ms": { type: "string", default: "400" },
        seconds: { type: "string", default: "8" },
        profile: { type: "string" },
        program: { type: "string" },
    },
});
const result = await runJobLoad({
    executors: Number(values.executors),
    jobsPerSecond: Number(values["jobs-per-second"]),
    tasksPerStep: Number(values["tasks-per-step"]),
    runMs: Number(values["run-ms"]),
    seconds: Number(values.seconds),
    profileFolder: values.profile,
    program: values.program,
});
console.log(JSON.stringify(result));
