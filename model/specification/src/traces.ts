import { readFileSync, writeFileSync } from "node:fs";
import type { GuardCheck } from "./checks.js";
import type { ProtocolStep, Trace } from "./protocol.js";

const TRACE_DIRECTORY = new URL("../traces/", import.meta.url);

const traceFileUrl = ({ protocol, guard }: GuardCheck): URL =>
    new URL(`${protocol}-without-${guard}.json`, TRACE_DIRECTORY);

/** Loads the committed trace for a guard. */
export const loadTrace = (check: GuardCheck): Trace<ProtocolStep> =>
    JSON.parse(readFileSync(traceFileUrl(check), "utf8")) as Trace<ProtocolStep>;

/** Saves the trace for a guard with one step per line, so that diffs stay readable. */
export const saveTrace = (check: GuardCheck, { violations, steps }: Trace<ProtocolStep>): void => {
    const lines = steps.map(step => `        ${JSON.stringify(step).replaceAll('":', '": ').replaceAll(',"', ', "')}`);
    const text = [
        "{",
        `    "protocol": ${JSON.stringify(check.protocol)},`,
        `    "withoutGuard": ${JSON.stringify(check.guard)},`,
        `    "violations": ${JSON.stringify(violations)},`,
        `    "steps": [`,
        lines.map(line => line.replace("{", "{ ").replace(/\}$/, " }")).join(",\n"),
        "    ]",
        "}",
    ];
    writeFileSync(traceFileUrl(check), `${text.join("\n")}\n`);
};
