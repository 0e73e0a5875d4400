import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { get } from "node:http";
import { after, before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { type CallAnswer, type CallResult, callEntry, wholeAnswer } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { setFaults } from "../src/endpoint-control.js";
import { startFailureFleet } from "../src/failure-fleet.js";
import { readDump } from "../src/operator-client.js";

const CALLS = 30;
const BIG_BYTES = 10 * 1024 * 1024;
const SLOW_READ_BYTES = 200 * 1024 * 1024;
// An unbounded entry would hold the 200 MB; kernel buffers and garbage stay far below this.
const MEMORY_GROWTH_LIMIT_BYTES = 80 * 1024 * 1024;

const FAULTS: readonly { readonly service: string; readonly fault: FaultInput; readonly answered: boolean }[] = [
    { service: "late", fault: { answerDelayMs: 300 }, answered: true },
    { service: "crossed", fault: { crossAnswers: true }, answered: false },
    { service: "cut", fault: { cutBody: true }, answered: false },
    { service: "headless", fault: { closeAfterHead: true }, answered: false },
    { service: "twice", fault: { answerTwice: true }, answered: true },
    { service: "too-long", fault: { contentLengthError: 20 }, answered: false },
    { service: "too-short", fault: { contentLengthError: -20 }, answered: false },
];

let deployment: Deployment;
let entry: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({
        services: [...FAULTS.map(row => row.service), "unsolicited", "big"],
        vmsPerService: 2,
        entries: 1,
    });
    [entry] = deployment.entries as [DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

const isOwnAnswer = ({ body, requestId }: CallAnswer): boolean => {
    const [, named, end] = /^\{"requestId":"([^"]*)"[^\n]*?(\}\n)/.exec(body.subarray(0, 500).toString()) ?? [];
    return requestId !== undefined && named === requestId && end !== undefined;
};

// By HTTP an answer ends where its Content-Length says, so one that is declared too short ends early.
const isOwnAsDeclared = ({ body, headers, requestId }: CallAnswer): boolean =>
    body.toString().startsWith(`{"requestId":"${requestId}",`) && body.length === Number(headers["content-length"]);

const isOwnOrFailure = (result: CallResult, service: string): boolean =>
    result.kind === "broken" ||
    result.status !== 200 ||
    (service === "too-short" ? isOwnAsDeclared(result) : isOwnAnswer(result));

const faultyVms = (service: string): readonly string[] => [`${service}-1`, `${service}-2`];

FAULTS.forEach(({ service, fault, answered }) => {
    test(`${JSON.stringify(fault)}: callers get their own whole answer or see a failure`, async () => {
        await setFaults(deployment, faultyVms(service), fault);
        const call = async (index: number): Promise<CallResult> => {
            await pause(index * 15);
            const headers = { "almondusher-timeout-ms": "2000" };
            return callEntry(entry, { path: `/${service}`, method: index % 2 === 0 ? "GET" : "POST", headers });
        };
        const results = await Promise.all(Array.from({ length: CALLS }, (unused, index) => call(index)));
        await setFaults(deployment, faultyVms(service));
        assert.deepEqual(
            results.filter(result => !isOwnOrFailure(result, service)),
            [],
        );
        if (answered) {
            assert.ok(results.some(result => result.kind === "answer" && result.status === 200));
        }
        // Ejected VMs may serve again later; the answers that come are whole.
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

const callsInTurn = async (gapMs: number, headers: Record<string, string>): Promise<readonly CallResult[]> => {
    const results: CallResult[] = [];
    for (let call = 0; call < CALLS; call += 1) {
        results.push(await callEntry(entry, { path: "/unsolicited", headers }));
        await pause(gapMs);
    }
    return results;
};

const assertOwn = (results: readonly CallResult[]): void =>
    assert.deepEqual(
        results.filter(result => !isOwnOrFailure(result, "unsolicited")),
        [],
    );

test("bytes on an idle connection never become the answer to the next request", async () => {
    await setFaults(deployment, faultyVms("unsolicited"), { unsolicitedAfterMs: 0 });
    const results = await callsInTurn(60, {});
    await setFaults(deployment, faultyVms("unsolicited"));
    await pause(200);
    assertOwn(results);
    assert.ok(results.some(result => result.kind === "answer" && result.status === 200));
});

test("bytes that reach a connection while its next request runs are not taken for the answer", async () => {
    await setFaults(deployment, faultyVms("unsolicited"), { unsolicitedAfterMs: 20 });
    const results = await callsInTurn(0, { "x-work-ms": "60" });
    await setFaults(deployment, faultyVms("unsolicited"));
    await pause(200);
    assertOwn(results);
    assert.ok(results.some(result => result.kind === "answer" && result.status === 200));
});

test("an answer that comes after its caller's deadline reaches no other caller", async () => {
    await setFaults(deployment, faultyVms("late"), { answerDelayMs: 600 });
    const headers = { "almondusher-timeout-ms": "200" };
    const late = await Promise.all(
        Array.from({ length: 8 }, () => callEntry(entry, { path: "/late", method: "POST", headers })),
    );
    late.map(wholeAnswer).forEach(answer => assert.equal(answer.status, 504));
    const next = await Promise.all(Array.from({ length: 8 }, () => callEntry(entry, { path: "/late" })));
    await setFaults(deployment, faultyVms("late"));
    next.map(wholeAnswer).forEach(answer => {
        assert.equal(answer.status, 200);
        assert.ok(isOwnAnswer(answer));
    });
});

test("answers of 10 MB arrive whole, in parallel and unmixed", async () => {
    const headers = { "x-answer-bytes": String(BIG_BYTES) };
    const results = await Promise.all(Array.from({ length: 6 }, () => callEntry(entry, { path: "/big", headers })));
    results.map(wholeAnswer).forEach(answer => {
        assert.equal(answer.body.length, BIG_BYTES);
        assert.ok(isOwnAnswer(answer));
        const headBytes = answer.body.indexOf("\n") + 1;
        const chunk = Buffer.alloc(64 * 1024, `${answer.requestId}.`);
        const filler = Buffer.concat(
            Array.from({ length: Math.ceil(BIG_BYTES / chunk.length) }, () => chunk),
            BIG_BYTES - headBytes,
        );
        const hash = (bytes: Buffer): string => createHash("sha256").update(bytes).digest("hex");
        assert.equal(hash(answer.body.subarray(headBytes)), hash(filler));
    });
});

test("a caller that does not read its answer of 200 MB does not fill the entry's memory", async context => {
    const startBytes = (await readDump(deployment, entry.operatorUrl)).memory.residentBytes;
    const headers = { "x-answer-bytes": String(SLOW_READ_BYTES) };
    const outgoing = get(`${entry.callerUrl}/big`, { headers, agent: false }, incoming => incoming.pause());
    outgoing.on("error", () => undefined);
    await pause(2_000);
    const endBytes = (await readDump(deployment, entry.operatorUrl)).memory.residentBytes;
    outgoing.destroy();
    context.diagnostic(`resident memory ${startBytes} to ${endBytes} bytes`);
    assert.ok(endBytes - startBytes < MEMORY_GROWTH_LIMIT_BYTES);
});
