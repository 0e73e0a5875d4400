import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { get } from "node:http";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { type CallResponse, type CallResult, callEntry, requireResponse } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { setFaults } from "../src/endpoint-control.js";
import { startFailureFleet } from "../src/failure-fleet.js";
import { readDump } from "../src/operator-client.js";

const CALLS = 30;
// Shorter than the time for which an entry repeats a refused request.
const FULL_MS = 300;
const LARGE_BODY_BYTES = 10 * 1024 * 1024;
// Guarantees half of the 16 slots to the 8 concurrent requests of a test, whatever run times their route has had. Other
// shares would leave 2, and the rest only to routes that are known to run for at most 500 ms.
const NORMAL_ONLY = { urgent: 0, normal: 1, deferrable: 0 };
const SLOW_READ_BYTES = 200 * 1024 * 1024;
// An entry that buffers without limit would hold 200 MB; kernel buffers and garbage stay far below this limit.
const MEMORY_GROWTH_LIMIT_BYTES = 80 * 1024 * 1024;

const FAULTS: readonly { readonly service: string; readonly fault: FaultInput; readonly expectSuccess: boolean }[] = [
    { service: "late", fault: { answerDelayMs: 300 }, expectSuccess: true },
    { service: "crossed", fault: { crossAnswers: true }, expectSuccess: false },
    { service: "cut", fault: { cutBody: true }, expectSuccess: false },
    { service: "headless", fault: { closeAfterHead: true }, expectSuccess: false },
    { service: "twice", fault: { answerTwice: true }, expectSuccess: true },
    { service: "too-long", fault: { contentLengthError: 20 }, expectSuccess: false },
    { service: "too-short", fault: { contentLengthError: -20 }, expectSuccess: false },
];

let deployment: Deployment;
let entry: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({
        services: [...FAULTS.map(row => row.service), "unsolicited", "full", "big"],
        vmsPerService: 2,
        entries: 1,
        poolKeys: { shares: NORMAL_ONLY },
    });
    [entry] = deployment.entries as [DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

const isOwnResponse = ({ body, requestId }: CallResponse): boolean => {
    const [, named, end] = /^\{"requestId":"([^"]*)"[^\n]*?(\}\n)/.exec(body.subarray(0, 500).toString()) ?? [];
    return requestId !== undefined && named === requestId && end !== undefined;
};

// A response whose Content-Length is too small is still valid HTTP: it ends after the declared number of bytes.
const isOwnUpToDeclaredLength = ({ body, headers, requestId }: CallResponse): boolean =>
    body.toString().startsWith(`{"requestId":"${requestId}",`) && body.length === Number(headers["content-length"]);

const isOwnOrFailure = (result: CallResult, service: string): boolean =>
    result.kind === "broken" ||
    result.status !== 200 ||
    (service === "too-short" ? isOwnUpToDeclaredLength(result) : isOwnResponse(result));

const faultyVms = (service: string): readonly string[] => [`${service}-1`, `${service}-2`];

test("an idempotent request that briefly full endpoints refuse on used connections must not be lost", async () => {
    const call = (): Promise<CallResult> => callEntry(entry, { path: "/full", headers: { "x-work-ms": "100" } });
    // Opens more connections than a request has attempts.
    await Promise.all(Array.from({ length: CALLS }, call));
    await setFaults(deployment, faultyVms("full"), { refuse: true });
    const result = call();
    await sleep(FULL_MS);
    await setFaults(deployment, faultyVms("full"));
    const { status, cause } = requireResponse(await result);
    assert.deepEqual([status, cause], [200, undefined]);
});

FAULTS.forEach(({ service, fault, expectSuccess }) => {
    test(`${JSON.stringify(fault)}: callers get their own complete response or an error`, async () => {
        await setFaults(deployment, faultyVms(service), fault);
        const call = async (index: number): Promise<CallResult> => {
            await sleep(index * 15);
            const headers = { "almondusher-timeout-ms": "2000" };
            return callEntry(entry, { path: `/${service}`, method: index % 2 === 0 ? "GET" : "POST", headers });
        };
        const results = await Promise.all(Array.from({ length: CALLS }, (unused, index) => call(index)));
        await setFaults(deployment, faultyVms(service));
        assert.deepEqual(
            results.filter(result => !isOwnOrFailure(result, service)),
            [],
        );
        if (expectSuccess) {
            assert.ok(results.some(result => result.kind === "response" && result.status === 200));
        }
        // Ejected VMs may still be out of service, so errors are accepted; responses must be complete.
        const later = await Promise.all(
            Array.from({ length: CALLS }, () =>
                callEntry(entry, { path: `/${service}`, headers: { "almondusher-timeout-ms": "2000" } }),
            ),
        );
        assert.deepEqual(
            later.filter(result => !isOwnOrFailure(result, service)),
            [],
        );
    });
});

const callSequentially = async (gapMs: number, headers: Record<string, string>): Promise<readonly CallResult[]> => {
    const results: CallResult[] = [];
    for (let call = 0; call < CALLS; call += 1) {
        results.push(await callEntry(entry, { path: "/unsolicited", headers }));
        await sleep(gapMs);
    }
    return results;
};

const assertOwnResponses = (results: readonly CallResult[]): void =>
    assert.deepEqual(
        results.filter(result => !isOwnOrFailure(result, "unsolicited")),
        [],
    );

test("unsolicited bytes on an idle connection are not taken for the response to the next request", async () => {
    await setFaults(deployment, faultyVms("unsolicited"), { unsolicitedAfterMs: 0 });
    const results = await callSequentially(60, {});
    await setFaults(deployment, faultyVms("unsolicited"));
    await sleep(200);
    assertOwnResponses(results);
    assert.ok(results.some(result => result.kind === "response" && result.status === 200));
});

test("unsolicited bytes received during a request are not taken for its response", async () => {
    await setFaults(deployment, faultyVms("unsolicited"), { unsolicitedAfterMs: 20 });
    const results = await callSequentially(0, { "x-work-ms": "60" });
    await setFaults(deployment, faultyVms("unsolicited"));
    await sleep(200);
    assertOwnResponses(results);
    assert.ok(results.some(result => result.kind === "response" && result.status === 200));
});

test("a response that arrives after its caller's deadline does not reach another caller", async () => {
    await setFaults(deployment, faultyVms("late"), { answerDelayMs: 600 });
    const headers = { "almondusher-timeout-ms": "200" };
    const late = await Promise.all(
        Array.from({ length: 8 }, () => callEntry(entry, { path: "/late", method: "POST", headers })),
    );
    late.map(requireResponse).forEach(({ status, cause }) => assert.deepEqual([status, cause], [504, "deadline"]));
    const next = await Promise.all(Array.from({ length: 8 }, () => callEntry(entry, { path: "/late" })));
    await setFaults(deployment, faultyVms("late"));
    next.map(requireResponse).forEach(response => {
        assert.equal(response.status, 200);
        assert.ok(isOwnResponse(response));
    });
});

test("concurrent responses of 10 MB arrive complete and unmixed", async () => {
    const headers = { "x-answer-bytes": String(LARGE_BODY_BYTES) };
    const results = await Promise.all(Array.from({ length: 6 }, () => callEntry(entry, { path: "/big", headers })));
    results.map(requireResponse).forEach(response => {
        assert.equal(response.body.length, LARGE_BODY_BYTES);
        assert.ok(isOwnResponse(response));
        const headBytes = response.body.indexOf("\n") + 1;
        const chunk = Buffer.alloc(64 * 1024, `${response.requestId}.`);
        const filler = Buffer.concat(
            Array.from({ length: Math.ceil(LARGE_BODY_BYTES / chunk.length) }, () => chunk),
            LARGE_BODY_BYTES - headBytes,
        );
        const hash = (bytes: Buffer): string => createHash("sha256").update(bytes).digest("hex");
        assert.equal(hash(response.body.subarray(headBytes)), hash(filler));
    });
});

test("the entry does not buffer a response of 200 MB that its caller does not read", async context => {
    const startBytes = (await readDump(deployment, entry.operatorUrl)).memory.residentBytes;
    const headers = { "x-answer-bytes": String(SLOW_READ_BYTES) };
    const outgoing = get(`${entry.callerUrl}/big`, { headers, agent: false }, incoming => incoming.pause());
    outgoing.on("error", () => undefined);
    await sleep(2_000);
    const endBytes = (await readDump(deployment, entry.operatorUrl)).memory.residentBytes;
    outgoing.destroy();
    context.diagnostic(`resident memory ${startBytes} to ${endBytes} bytes`);
    assert.ok(endBytes - startBytes < MEMORY_GROWTH_LIMIT_BYTES);
});
