import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallResult, callEntry, requireResponse } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { readCounts, runsOfKey } from "../src/endpoint-control.js";
import { restartEntry, startFailureFleet } from "../src/failure-fleet.js";
import { pollUntil } from "../src/operator-client.js";
import { describeChild } from "../src/process-faults.js";

const READINESS_PATH = "/.almondusher/ready";
const STOP_GRACE_MS = 1_000;
const LONG_RUN_MS = 4_000;
const CALLERS = 8;
const LOAD_DURATION_MS = 3_000;
const WAIT_TIMEOUT_MS = 10_000;
const VMS = 2;

let deployment: Deployment;
let stopped: DeployedEntry;
let other: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({
        services: ["work"],
        vmsPerService: VMS,
        entries: 2,
        timing: { stopGraceMs: STOP_GRACE_MS },
    });
    [stopped, other] = deployment.entries as [DeployedEntry, DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

const isReady = async (entry: DeployedEntry): Promise<boolean> => {
    const result = await callEntry(entry, { path: READINESS_PATH });
    return result.kind === "response" && result.status === 200;
};

test("a planned stop under load fails no request, completes long ones and lets a new process take over", async () => {
    const longWork = callEntry(stopped, {
        method: "POST",
        path: "/work",
        headers: { "idempotency-key": "long", "x-work-ms": String(LONG_RUN_MS) },
    });
    await pollUntil({
        what: "the long request to run",
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => ((await runsOfKey(deployment, "long")) > 0 ? true : undefined),
    });
    const startedAt = performance.now();
    const results: CallResult[] = [];
    // Acts as a load balancer: sends to the stopping entry only while it reports that it is ready.
    const caller = async (index: number): Promise<void> => {
        while (performance.now() - startedAt < LOAD_DURATION_MS) {
            const entry = index % 2 === 0 && (await isReady(stopped)) ? stopped : other;
            results.push(await callEntry(entry, { path: "/work", method: "POST", headers: { "x-work-ms": "20" } }));
        }
    };
    const load = Promise.all(Array.from({ length: CALLERS }, (unused, index) => caller(index)));
    await sleep(LOAD_DURATION_MS / 4);
    stopped.child.process.kill("SIGTERM");
    await load;
    assert.ok(results.length > CALLERS);
    assert.deepEqual(
        results.filter(result => result.kind === "broken" || result.status !== 200),
        [],
    );
    assert.equal(requireResponse(await longWork).status, 200);
    assert.equal(await stopped.child.exited, 0);
    await restartEntry(deployment, stopped, VMS);
    assert.equal(requireResponse(await callEntry(stopped, { path: "/work" })).status, 200);
});

const describeResult = (result: CallResult): string =>
    result.kind === "broken" ? result.message : `status ${result.status}, cause ${result.cause}`;

test("a request cancelled by its caller frees its slot immediately and does not count against the VM", async () => {
    const calls = Array.from({ length: CALLERS }, () => {
        const controller = new AbortController();
        const headers = { "x-work-ms": "30000" };
        return {
            controller,
            result: callEntry(other, { path: "/work", method: "POST", headers, signal: controller.signal }),
        };
    });
    const ended: string[] = [];
    calls.forEach(call => void call.result.then(result => ended.push(describeResult(result))));
    const slotsInUse = async (): Promise<number> =>
        (await readCounts(deployment)).vms.reduce((sum, vm) => sum + vm.slotsInUse, 0);
    await pollUntil({
        what: "the requests to run",
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => ((await slotsInUse()) > 0 ? true : undefined),
        describeState: () => [...ended, describeChild(deployment, other.child)].join("\n"),
    });
    calls.forEach(call => call.controller.abort());
    const results = await Promise.all(calls.map(call => call.result));
    results.forEach(result => assert.equal(result.kind, "broken"));
    await pollUntil({
        what: "all slots to be free",
        timeoutMs: 2_000,
        read: async () => ((await slotsInUse()) === 0 ? true : undefined),
    });
    const later = await Promise.all(
        Array.from({ length: CALLERS }, () => callEntry(other, { path: "/work", method: "POST" })),
    );
    later.map(requireResponse).forEach(response => assert.equal(response.status, 200));
    assert.doesNotMatch(readFileSync(join(deployment.folder, `${other.vmId}.log`), "utf8"), /vm-ejected/);
});
