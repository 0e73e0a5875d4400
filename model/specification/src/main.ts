import { parseArgs } from "node:util";
import { completeChecks, gapChecks, guardChecks } from "./checks.js";
import type { Exploration } from "./explore.js";
import type { ProtocolStep } from "./protocol.js";
import { saveTrace, variantName } from "./traces.js";

const describe = (name: string, exploration: Exploration<ProtocolStep>): string => {
    const found = exploration.violation ?? exploration.stuck;
    const result =
        found === undefined ? "no violation" : `${found.violations.join("; ")} (${found.steps.length} steps)`;
    const { states, transitions, seconds, longestRecovery } = exploration;
    return `${name}: ${states} states, ${transitions} transitions, ${seconds.toFixed(1)} s, recovery ${longestRecovery}: ${result}`;
};

const { values } = parseArgs({ options: { "save-traces": { type: "boolean", default: false } } });

completeChecks.forEach(check => console.log(describe(check.name, check.run())));
[...guardChecks, ...gapChecks].forEach(check => {
    const exploration = check.run();
    console.log(describe(`${check.protocol} ${variantName(check.variant)}`, exploration));
    if (values["save-traces"] && exploration.violation !== undefined) {
        saveTrace(check, exploration.violation);
    }
});
