import { strict as assert } from "node:assert";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startControlFleet } from "../src/control-fleet.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { pollUntil } from "../src/operator-client.js";
import { bringPlatformUp, readPlatformCounts, setPlatformFault, takePlatformDown } from "../src/platform-faults.js";
import { endProcess, pauseProcess, relaunchEntry, resumeProcess, waitForReady } from "../src/process-faults.js";
import { type ProcessStatus, readOperator } from "../src/read-operator.js";

const ISOLATION_TIMEOUT_MS = 3000;
// Shorter than the timeout of a platform call, so that the delayed response is accepted.
const RESPONSE_DELAY_MS = 1500;
const OBSERVED_MS = 1500;
const CALL_TIMEOUT_MS = 5000;

/** Restarts the entry with a platform timeout that is longer than the pause. */
const relaunchWithLongTimeout = async (deployment: Deployment, entry: DeployedEntry): Promise<void> => {
    const { platform } = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: object };
    await endProcess(entry.child, "SIGTERM");
    relaunchEntry(deployment, entry, { platform: { ...platform, requestTimeoutMs: 20_000 } });
    await waitForReady(deployment, entry);
};

test("a platform response sent before a pause does not end the isolation of an entry after it", async () => {
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
        await relaunchWithLongTimeout(deployment, entry);
        deployment.managers.forEach(manager => pauseProcess(manager.child));
        await setPlatformFault(deployment, { delayMs: RESPONSE_DELAY_MS });
        const before = await countReads();
        await pollUntil({
            what: "a read of the head to be in flight",
            timeoutMs: CALL_TIMEOUT_MS,
            read: async () => ((await countReads()) > before ? true : undefined),
        });
        pauseProcess(entry.child);
        // The read in flight still gets a response; all later ones hang.
        await takePlatformDown(deployment, "hang");
        await sleep(ISOLATION_TIMEOUT_MS + RESPONSE_DELAY_MS);
        resumeProcess(entry.child);
        const endsAt = performance.now() + OBSERVED_MS;
        const seen: boolean[] = [];
        while (performance.now() < endsAt) {
            const status = await readOperator<ProcessStatus>(deployment, entry.operatorUrl, "/status");
            seen.push(status?.ready ?? false);
            await sleep(20);
        }
        assert.ok(seen.length > 0);
        assert.equal(
            seen.includes(true),
            false,
            "the entry became ready without a response to a request sent after the pause",
        );
        await bringPlatformUp(deployment);
        await waitForReady(deployment, entry);
    } finally {
        await bringPlatformUp(deployment);
        await control.stop();
    }
});
