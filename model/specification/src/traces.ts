import { readFileSync, writeFileSync } from "node:fs";
import type { GuardCheck } from "./checks.js";
import type { ProtocolStep, Trace } from "./protocol.js";

const TRACES = new URL("../traces/", import.meta.url);

const fileOf = ({ protocol, guard }: GuardCheck): URL => new URL(`${protocol}-without-${guard}.json`, TRACES);

/** The trace kept for a guard. */
export const loadTrace = (check: GuardCheck): Trace<ProtocolStep> =>
    JSON.parse(readFileSync(fileOf(check), "utf8")) as Trace<ProtocolStep>;

/** Writes the trace found for a guard, one step a line. */
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
    writeFileSync(fileOf(check), `${text.join("\n")}\n`);
};
