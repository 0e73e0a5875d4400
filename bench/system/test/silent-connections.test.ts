import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { type CallResult, callEntry, requireResponse } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { readCounts, runsOfKey } from "../src/endpoint-control.js";
import { addressOf, replaceVmAddresses, startFailureFleet } from "../src/failure-fleet.js";
import { pollUntil } from "../src/operator-client.js";

const VMS = ["far-1", "far-2"];
const HEDGE_DELAY_MS = 300;
// The retry budget of an idle pool allows one hedge every 2 s, and six requests may need one each; the rest is slack.
const RESPONSE_TIMEOUT_MS = 18_000;
const LONG_RUN_MS = 5 * HEDGE_DELAY_MS;
const PARALLEL_REQUESTS = 6;

let deployment: Deployment;
let entry: DeployedEntry;
let relays: readonly TcpRelay[] = [];

before(async () => {
    deployment = await startFailureFleet({
        services: ["far"],
        vmsPerService: VMS.length,
        entries: 1,
        limits: { hedgeMinMs: HEDGE_DELAY_MS },
    });
    [entry] = deployment.entries as [DeployedEntry];
    relays = await Promise.all(VMS.map(vm => startTcpRelay({ target: addressOf(deployment, vm) })));
    await replaceVmAddresses(
        deployment,
        relays.map(({ address }, index) => ({ vm: VMS[index] ?? "", address })),
    );
    await pollUntil({
        what: "connections through every relay",
        timeoutMs: RESPONSE_TIMEOUT_MS,
        read: async () => {
            await openConnections();
            return relays.every(relay => relay.connections() > 0) ? true : undefined;
        },
    });
});
after(async () => {
    await (deployment as Deployment | undefined)?.stop();
    await Promise.all(relays.map(relay => relay.close()));
});

const get = (workMs = 0): Promise<CallResult> =>
    callEntry(entry, { path: "/far", headers: { "x-work-ms": String(workMs) }, timeoutMs: RESPONSE_TIMEOUT_MS });

const openConnections = (): Promise<readonly CallResult[]> =>
    Promise.all(Array.from({ length: PARALLEL_REQUESTS }, () => get(50)));

const assertAllSucceed = (results: readonly CallResult[]): void =>
    assert.deepEqual(
        results.map(result => (result.kind === "response" ? result.status : result.message)),
        results.map(() => 200),
    );

test("idempotent requests succeed when the idle connections of one VM have stalled", async () => {
    assertAllSucceed(await openConnections());
    relays[0]?.stall();
    assertAllSucceed(await openConnections());
});

test("idempotent requests succeed when all idle connections have stalled", async () => {
    assertAllSucceed(await openConnections());
    relays.forEach(relay => relay.stall());
    assertAllSucceed(await openConnections());
});

test("a second attempt does not use an idle connection that may have stalled together with the first", async () => {
    assertAllSucceed(await openConnections());
    relays.forEach(relay => relay.stall());
    assertAllSucceed([await get()]);
});

test("requests after the stall use new connections", async () => {
    assertAllSucceed(await openConnections());
    relays.forEach(relay => relay.stall());
    await openConnections();
    const startedAt = performance.now();
    assertAllSucceed(await Promise.all(Array.from({ length: PARALLEL_REQUESTS }, () => get())));
    assert.ok(performance.now() - startedAt < RESPONSE_TIMEOUT_MS);
});

test("requests that run longer than the hedge delay are not aborted, and a keyed one runs once", async () => {
    const results = await Promise.all([
        get(LONG_RUN_MS),
        callEntry(entry, {
            method: "POST",
            path: "/far",
            headers: { "idempotency-key": "long", "x-work-ms": String(LONG_RUN_MS) },
        }),
    ]);
    assertAllSucceed(results);
    assert.equal(await runsOfKey(deployment, "long"), 1);
});

test("a keyed request whose connection stalls during the run does not run again", async () => {
    const running = callEntry(entry, {
        method: "POST",
        path: "/far",
        headers: { "idempotency-key": "lost", "x-work-ms": "600", "almondusher-timeout-ms": "2000" },
    });
    await pollUntil({
        what: "the first run",
        timeoutMs: RESPONSE_TIMEOUT_MS,
        read: async () => ((await runsOfKey(deployment, "lost")) > 0 ? true : undefined),
    });
    relays.forEach(relay => relay.stall());
    assert.equal(requireResponse(await running).verdict, "may-have-run");
    await sleep(HEDGE_DELAY_MS);
    assert.equal(await runsOfKey(deployment, "lost"), 1);
    const { requests } = await readCounts(deployment);
    assert.ok(requests.length > 0);
});
