import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { type CallResult, callEntry, wholeAnswer } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { readCounts, runsOfKey } from "../src/endpoint-control.js";
import { addressOf, readdressVms, startFailureFleet } from "../src/failure-fleet.js";
import { pollUntil } from "../src/operator-client.js";

const VMS = ["far-1", "far-2"];
const HEDGE_MS = 300;
// The retry budget of a quiet pool grants a hedge every 2 s, which six silent requests share, with slack.
const ANSWER_LIMIT_MS = 18_000;
const LONG_WORK_MS = 5 * HEDGE_MS;
const PARALLEL = 6;

let deployment: Deployment;
let entry: DeployedEntry;
let relays: readonly TcpRelay[] = [];

before(async () => {
    deployment = await startFailureFleet({
        services: ["far"],
        vmsPerService: VMS.length,
        entries: 1,
        limits: { hedgeMinMs: HEDGE_MS },
    });
    [entry] = deployment.entries as [DeployedEntry];
    relays = await Promise.all(VMS.map(vm => startTcpRelay({ target: addressOf(deployment, vm) })));
    await readdressVms(
        deployment,
        relays.map(({ address }, index) => ({ vm: VMS[index] ?? "", address })),
    );
    await pollUntil({
        what: "requests on the relays",
        timeoutMs: ANSWER_LIMIT_MS,
        read: async () => {
            await warmUp();
            return relays.every(relay => relay.connections() > 0) ? true : undefined;
        },
    });
});
after(async () => {
    await (deployment as Deployment | undefined)?.stop();
    await Promise.all(relays.map(relay => relay.close()));
});

const read = (workMs = 0): Promise<CallResult> =>
    callEntry(entry, { path: "/far", headers: { "x-work-ms": String(workMs) }, giveUpMs: ANSWER_LIMIT_MS });

const warmUp = (): Promise<readonly CallResult[]> => Promise.all(Array.from({ length: PARALLEL }, () => read(50)));

const assertAnswered = (results: readonly CallResult[]): void =>
    assert.deepEqual(
        results.map(result => (result.kind === "answer" ? result.status : result.message)),
        results.map(() => 200),
    );

test("idempotent requests are answered although the idle connections of one VM have gone silent", async () => {
    assertAnswered(await warmUp());
    relays[0]?.stall();
    assertAnswered(await warmUp());
});

test("idempotent requests are answered although all idle connections have gone silent", async () => {
    assertAnswered(await warmUp());
    relays.forEach(relay => relay.stall());
    assertAnswered(await warmUp());
});

test("a second attempt does not take an idle connection that may have gone silent with the first", async () => {
    assertAnswered(await warmUp());
    relays.forEach(relay => relay.stall());
    assertAnswered([await read()]);
});

test("requests after the loss use new connections", async () => {
    assertAnswered(await warmUp());
    relays.forEach(relay => relay.stall());
    await warmUp();
    const startedAt = performance.now();
    assertAnswered(await Promise.all(Array.from({ length: PARALLEL }, () => read())));
    assert.ok(performance.now() - startedAt < ANSWER_LIMIT_MS);
});

test("live work longer than the hedge time is not cut, and paid work runs once", async () => {
    const results = await Promise.all([
        read(LONG_WORK_MS),
        callEntry(entry, {
            method: "POST",
            path: "/far",
            headers: { "idempotency-key": "long", "x-work-ms": String(LONG_WORK_MS) },
        }),
    ]);
    assertAnswered(results);
    assert.equal(await runsOfKey(deployment, "long"), 1);
});

test("a paid request whose connection goes silent during the run does not run again", async () => {
    const running = callEntry(entry, {
        method: "POST",
        path: "/far",
        headers: { "idempotency-key": "lost", "x-work-ms": "600", "almondusher-timeout-ms": "2000" },
    });
    await pollUntil({
        what: "the run",
        timeoutMs: ANSWER_LIMIT_MS,
        read: async () => ((await runsOfKey(deployment, "lost")) > 0 ? true : undefined),
    });
    relays.forEach(relay => relay.stall());
    assert.equal(wholeAnswer(await running).verdict, "may-have-run");
    await pause(HEDGE_MS);
    assert.equal(await runsOfKey(deployment, "lost"), 1);
    const { requests } = await readCounts(deployment);
    assert.ok(requests.length > 0);
});
