import { strict as assert } from "node:assert";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type BalancedLoad, callEntry, failedRequests, startBalancedLoad } from "../src/balanced-load.js";
import { type Child } from "../src/child-process.js";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { launchEntry } from "../src/deployment.js";
import { freePorts } from "../src/free-ports.js";
import { pollUntil } from "../src/operator-client.js";
import { bringPlatformUp, takePlatformDown, writeIsolatedSettings } from "../src/platform-faults.js";
import { endProcess, pauseProcess, replaceEntry, resumeProcess, waitForReady } from "../src/process-faults.js";
import { readOperator, type ProcessStatus } from "../src/read-operator.js";
import { readKeyRuns } from "../src/vm-usage.js";

const ISOLATION_TIMEOUT_MS = 4000;
const START_TIMEOUT_MS = 15_000;

let control: ControlFleet;
let load: BalancedLoad;

const entryAt = (index: number) => {
    const entry = control.deployment.entries[index];
    assert.ok(entry);
    return entry;
};

before(async () => {
    control = await startControlFleet({
        name: "platform-down",
        entries: 3,
        services: [{ name: "letters", vms: 3 }],
        entryTiming: { isolationTimeoutMs: ISOLATION_TIMEOUT_MS },
    });
    await takePlatformDown(control.deployment);
    load = startBalancedLoad({
        entries: control.deployment.entries,
        paths: ["/letters/1"],
        workers: 6,
        workMs: 20,
        pauseMs: 10,
    });
});

after(async () => {
    await load.stop();
    await control.stop();
});

test("a keyed non-idempotent request is rejected while its claim cannot be written", async () => {
    const response = await callEntry({
        entry: entryAt(0),
        path: "/letters/order",
        method: "POST",
        headers: { "idempotency-key": "order-without-platform" },
    });
    assert.equal(response.status, 503);
    assert.equal(response.cause, "platform-unavailable");
    // "not-run" would also cover earlier requests with the key, which cannot be verified during the outage.
    assert.equal(response.verdict, "may-have-run");
    assert.equal(await readKeyRuns(control.deployment, "order-without-platform"), 0);
});

test("a non-idempotent request without a key needs no claim and is served during an outage", async () => {
    const response = await callEntry({ entry: entryAt(1), path: "/letters/order", method: "POST" });
    assert.equal(response.status, 200);
});

test("every entry can be replaced during an outage without failed requests", async () => {
    for (const entry of control.deployment.entries) {
        await replaceEntry(control.deployment, entry, "SIGTERM");
        assert.equal((await callEntry({ entry, path: "/letters/1" })).status, 200);
    }
    assert.deepEqual(failedRequests(load.records), []);
    assert.ok(load.records.length > 0);
});

test("an entry started without platform and peers rejects requests, since it has no configuration", async () => {
    const ports = await freePorts(3);
    const file = writeIsolatedSettings(control.deployment, entryAt(0), ports);
    const child: Child = launchEntry("entry-isolated", file, control.deployment.folder);
    try {
        const status = await pollUntil({
            what: "the status of the isolated entry",
            timeoutMs: START_TIMEOUT_MS,
            read: () => readOperator<ProcessStatus>(control.deployment, `http://127.0.0.1:${ports[2] ?? 0}`, "/status"),
        });
        assert.equal(status.ready, false);
        assert.match(status.reason ?? "", /no fleet state/);
        const refused = await callEntry({
            entry: { ...entryAt(0), callerUrl: `http://127.0.0.1:${ports[0] ?? 0}` },
            path: "/letters/1",
        });
        assert.equal(refused.status, 503);
        assert.equal(refused.verdict, "not-run");
        assert.equal(refused.cause, "not-ready");
    } finally {
        await endProcess(child, "SIGTERM");
    }
});

test("an entry paused for longer than the isolation timeout rejects requests until it has contact again", async () => {
    const entry = entryAt(2);
    const peers = [entryAt(0), entryAt(1)];
    await load.stop();
    pauseProcess(entry.child);
    await sleep(ISOLATION_TIMEOUT_MS + 1000);
    // With the platform down and all peers paused no contact is possible, so the result does not depend on timing.
    peers.forEach(peer => pauseProcess(peer.child));
    resumeProcess(entry.child);
    try {
        const response = await callEntry({ entry, path: "/letters/1" });
        assert.equal(response.status, 503);
        assert.equal(response.cause, "not-ready");
        assert.equal(response.verdict, "not-run");
        await sleep(1000);
        const status = await readOperator<ProcessStatus>(control.deployment, entry.operatorUrl, "/status");
        assert.equal(status?.ready, false);
        assert.match(status?.reason ?? "", /no answer of the platform or a peer/);
    } finally {
        peers.forEach(peer => resumeProcess(peer.child));
    }
    await Promise.all(control.deployment.entries.map(each => waitForReady(control.deployment, each)));
    assert.equal((await callEntry({ entry, path: "/letters/1" })).status, 200);
});

test("a keyed request is served again after the outage and runs once although it is repeated", async () => {
    await bringPlatformUp(control.deployment);
    const key = "order-after-outage";
    const call = (index: number) =>
        callEntry({
            entry: entryAt(index),
            path: "/letters/order",
            method: "POST",
            headers: { "idempotency-key": key },
        });
    const first = await pollUntil({
        what: "a response to a keyed request",
        timeoutMs: START_TIMEOUT_MS,
        read: async () => {
            const response = await call(0);
            return response.status === 503 ? undefined : response;
        },
    });
    assert.equal(first.status, 200);
    // The claim is settled after the response; until then a repeat gets verdict may-have-run.
    const repeated = await pollUntil({
        what: "the claim to be settled",
        timeoutMs: START_TIMEOUT_MS,
        read: async () => {
            const response = await call(1);
            assert.equal(response.status, 409);
            return response.verdict === "may-have-run" ? undefined : response;
        },
    });
    assert.equal(repeated.verdict, "ran");
    assert.equal(await readKeyRuns(control.deployment, key), 1);
});
