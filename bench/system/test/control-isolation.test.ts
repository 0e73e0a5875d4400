import { strict as assert } from "node:assert";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startControlFleet } from "../src/control-fleet.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { pollUntil } from "../src/operator-client.js";
import { bringPlatformUp, readPlatformCounts, setPlatformFault, takePlatformDown } from "../src/platform-faults.js";
import { endProcess, freeze, relaunchEntry, resume, waitForReady } from "../src/process-faults.js";
import { type ProcessStatus, readOperator } from "../src/read-operator.js";

const ISOLATION_TIMEOUT_MS = 3000;
// Shorter than the timeout of a call, so that the answer is good when it arrives.
const SLOW_MS = 1500;
const OBSERVED_MS = 1500;
const CALL_LIMIT_MS = 5000;

/** Replaces the entry by one that waits longer for the platform than the freeze lasts. */
const replaceWithPatientCalls = async (deployment: Deployment, entry: DeployedEntry): Promise<void> => {
    const { platform } = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: object };
    await endProcess(entry.child, "SIGTERM");
    relaunchEntry(deployment, entry, { platform: { ...platform, requestTimeoutMs: 20_000 } });
    await waitForReady(deployment, entry);
};

test("an answer from before a freeze must not count as contact after it", async () => {
    const control = await startControlFleet({
        name: "isolation",
        entries: 1,
        services: [{ name: "letters", vms: 2 }],
        entryTiming: { isolationTimeoutMs: ISOLATION_TIMEOUT_MS },
    });
    const { deployment } = control;
    const entry = deployment.entries[0];
    assert.ok(entry);
    const countReads = async () => {
        const counts = await readPlatformCounts(deployment);
        return counts.table.find(row => row.operation.includes("GetItem"))?.requests ?? 0;
    };
    try {
        await replaceWithPatientCalls(deployment, entry);
        deployment.managers.forEach(manager => freeze(manager.child));
        await setPlatformFault(deployment, { delayMs: SLOW_MS });
        const before = await countReads();
        await pollUntil({
            what: "a read of the head is in flight",
            timeoutMs: CALL_LIMIT_MS,
            read: async () => ((await countReads()) > before ? true : undefined),
        });
        freeze(entry.child);
        // The read in flight is still answered, all later ones hang.
        await takePlatformDown(deployment, "hang");
        await sleep(ISOLATION_TIMEOUT_MS + SLOW_MS);
        resume(entry.child);
        const endsAt = performance.now() + OBSERVED_MS;
        const seen: boolean[] = [];
        while (performance.now() < endsAt) {
            const status = await readOperator<ProcessStatus>(deployment, entry.operatorUrl, "/status");
            seen.push(status?.ready ?? false);
            await sleep(20);
        }
        assert.ok(seen.length > 0);
        assert.equal(seen.includes(true), false, "ready without an answer to a question asked after the freeze");
        await bringPlatformUp(deployment);
        await waitForReady(deployment, entry);
    } finally {
        await bringPlatformUp(deployment);
        await control.stop();
    }
});
