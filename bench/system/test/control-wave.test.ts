import { strict as assert } from "node:assert";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { readVms } from "@almondusher/platform/vm-list";
import { failedRequests, startBalancedLoad } from "../src/balanced-load.js";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { checkHistory } from "../src/history-checks.js";
import { pollUntil } from "../src/operator-client.js";
import { readLatest } from "../src/operator-edit.js";
import { readPlatformCounts } from "../src/platform-faults.js";
import { endProcess, relaunchManager } from "../src/process-faults.js";

const WAVE_TIMEOUT_MS = 90_000;
const SAMPLE_PERIOD_MS = 50;
const VMS = 8;

/** Finds pools with fewer available VMs than `minAvailable`; undefined if the state changed during the sample. */
const sampleBudget = async ({ platform }: ControlFleet): Promise<readonly string[] | undefined> => {
    const state = await readLatest(platform);
    const listing = await readVms(platform, { etag: undefined });
    const live = new Set(listing.kind === "list" ? listing.vms.filter(vm => vm.state === "live").map(vm => vm.id) : []);
    if ((await readLatest(platform)).revision !== state.revision) {
        return undefined;
    }
    return state.pools.rows.flatMap(pool => {
        const available = state.assignments.rows.filter(
            row => row.pool === pool.name && row.phase.kind === "serving" && live.has(row.vm),
        ).length;
        return available < pool.minAvailable ? [`${pool.name} has ${available} of ${pool.minAvailable} VMs`] : [];
    });
};

/** Restarts the managers with a wave requested now; one requested before could be over when the samples begin. */
const requestWave = async ({ deployment }: ControlFleet): Promise<void> => {
    await Promise.all(deployment.managers.map(({ child }) => endProcess(child, "SIGTERM")));
    deployment.managers.forEach(({ settingsFile }, index) => {
        const settings = JSON.parse(readFileSync(settingsFile, "utf8")) as object;
        const planner = { listLagMs: 0, waveRequestedAtMs: Date.now() };
        writeFileSync(settingsFile, JSON.stringify({ ...settings, planner }, undefined, 4));
        relaunchManager(deployment, index);
    });
};

test("a maintenance wave reboots every VM once, keeps the pools within their budgets and fails no request", async context => {
    const control = await startControlFleet({
        name: "wave",
        entries: 3,
        dataCentres: ["quimper", "vannes"],
        vmsPerRack: 2,
        services: [
            { name: "letters", vms: 4 },
            { name: "studies", vms: 4 },
        ],
    });
    const load = startBalancedLoad({
        entries: control.deployment.entries,
        paths: ["/letters/1", "/studies/1"],
        workers: 4,
        workMs: 30,
        pauseMs: 20,
    });
    const sampling = { stopped: false, samples: 0, faults: new Set<string>() };
    const sample = async (): Promise<void> => {
        while (!sampling.stopped) {
            const faults = await sampleBudget(control);
            sampling.samples += faults === undefined ? 0 : 1;
            faults?.forEach(fault => sampling.faults.add(fault));
            await sleep(SAMPLE_PERIOD_MS);
        }
    };
    const samples = sample();
    const countReboots = async () =>
        (await readPlatformCounts(control.deployment)).vmList.find(row => row.operation === "POST reboot")?.requests ??
        0;
    try {
        await requestWave(control);
        await pollUntil({
            what: "every VM to be rebooted and serving",
            timeoutMs: WAVE_TIMEOUT_MS,
            read: async () => {
                const listing = await readVms(control.platform, { etag: undefined });
                const { assignments } = await readLatest(control.platform);
                const rebooted = listing.kind === "list" ? listing.vms.filter(vm => vm.bootId !== "boot-1") : [];
                return rebooted.length === VMS && assignments.rows.every(row => row.phase.kind === "serving")
                    ? true
                    : undefined;
            },
        });
        await sleep(SAMPLE_PERIOD_MS * 20);
        assert.equal(await countReboots(), VMS);
        assert.deepEqual(failedRequests(await load.stop()), []);
        sampling.stopped = true;
        await samples;
        context.diagnostic(`the budgets were compared ${sampling.samples} times`);
        assert.deepEqual([...sampling.faults], []);
        assert.ok(sampling.samples > VMS, `the budgets were compared only ${sampling.samples} times`);
        assert.deepEqual(await checkHistory(control.deployment, control.platform), []);
    } finally {
        sampling.stopped = true;
        await samples;
        await load.stop();
        await control.stop();
    }
});
