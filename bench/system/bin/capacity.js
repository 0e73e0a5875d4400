#!/usr/bin/env node
import { parseArgs } from "node:util";
import { runCapacity } from "../dist/capacity.js";

const { values } = parseArgs({
    options: {
        size: { type: "string", multiple: true, default: ["83", "165", "330", "660"] },
        seconds: { type: "string", default: "15" },
    },
});
await runCapacity({ sizes: values.size.map(Number), durationMs: Number(values.seconds) * 1000 });
