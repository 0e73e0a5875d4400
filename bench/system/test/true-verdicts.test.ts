import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type CallResponse, type CallOptions, callEntry } from "../src/call-entry.js";
import type { Deployment } from "../src/deployment.js";
import { readCounts, setFaults } from "../src/endpoint-control.js";
import { startFailureFleet } from "../src/failure-fleet.js";

const SEED = Number(process.env["SEED"] ?? 20_261_204);
const VMS = ["mixed-1", "mixed-2", "mixed-3", "mixed-4"];
const ROUNDS = 12;
const CALLS_PER_ROUND = 30;
const SETTLE_MS = 1_000;
const FAULTS: readonly FaultInput[] = [
    {},
    { refuse: true },
    { failFast: true },
    { down: true },
    { closeWithoutAnswer: true },
    { cutBody: true },
    { freeze: true },
];

let deployment: Deployment;

before(async () => {
    deployment = await startFailureFleet({ services: ["mixed"], vmsPerService: VMS.length, entries: 2 });
});
after(() => (deployment as Deployment | undefined)?.stop());

interface CompletedCall {
    readonly key: string | undefined;
    readonly idempotent: boolean;
    readonly response: CallResponse | undefined;
}

const generator = xoroshiro128plus(SEED);
const randomInt = (least: number, most: number): number => uniformInt(generator, least, most);

const randomCall = (number: number): CallOptions & { readonly key?: string } => {
    const headers = { "almondusher-timeout-ms": String(randomInt(300, 1_500)), "x-work-ms": String(randomInt(0, 60)) };
    switch (randomInt(0, 3)) {
        case 0:
            return { path: "/mixed", headers };
        case 1:
            return { path: "/mixed", method: "PUT", headers, body: "x".repeat(randomInt(1, 100_000)) };
        case 2:
            return { path: "/mixed", method: "POST", headers, body: "{}" };
        default: {
            const key = `key-${number}`;
            return { path: "/mixed", method: "POST", headers: { ...headers, "idempotency-key": key }, body: "{}", key };
        }
    }
};

const runRound = async (round: number): Promise<readonly CompletedCall[]> => {
    const faults = VMS.map(vm => ({ vm, fault: FAULTS[randomInt(0, FAULTS.length - 1)] ?? {} }));
    const calls = Array.from({ length: CALLS_PER_ROUND }, (unused, index) =>
        randomCall(round * CALLS_PER_ROUND + index),
    );
    const starts = calls.map(() => randomInt(0, 400));
    await Promise.all(faults.map(({ vm, fault }) => setFaults(deployment, [vm], fault)));
    const sent = calls.map(async (call, index): Promise<CompletedCall> => {
        await sleep(starts[index]);
        const entry = deployment.entries[index % deployment.entries.length] ?? { callerUrl: "" };
        const result = await callEntry(entry, call);
        return {
            key: call.key,
            idempotent: call.method !== "POST",
            response: result.kind === "response" ? result : undefined,
        };
    });
    return Promise.all(sent);
};

test("no request with verdict not-run has run on an endpoint, and only idempotent requests run twice", async context => {
    context.diagnostic(`seed ${SEED}`);
    const sent: CompletedCall[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
        sent.push(...(await runRound(round)));
    }
    await setFaults(deployment, VMS);
    // Requests held back by a frozen endpoint can still start until here.
    await sleep(SETTLE_MS);
    const counts = await readCounts(deployment);
    const runsOfRequest = new Map(counts.requests.map(row => [row.id, row.runs]));
    const runsOfKey = new Map(counts.keys.map(row => [row.id, row.runs]));
    const runCountOf = ({ key, response }: CompletedCall): number =>
        key === undefined ? (runsOfRequest.get(response?.requestId ?? "") ?? 0) : (runsOfKey.get(key) ?? 0);

    const byVerdict = (verdict: string | undefined) => sent.filter(call => call.response?.verdict === verdict);
    const notRun = byVerdict("not-run");
    const successful = sent.filter(call => call.response?.status === 200);
    context.diagnostic(
        `${sent.length} calls: ${successful.length} answered, ${notRun.length} not-run, ${byVerdict("may-have-run").length} may-have-run`,
    );
    assert.ok(
        notRun.length > 0 && successful.length > 0,
        "the run has no rejected or no successful request, so it verifies nothing",
    );
    assert.deepEqual(
        notRun.filter(call => runCountOf(call) > 0).map(call => [call.response?.requestId, call.response?.cause]),
        [],
    );
    assert.deepEqual(
        successful.filter(call => runCountOf(call) === 0).map(call => call.response?.requestId),
        [],
    );
    assert.deepEqual(
        counts.keys.filter(row => row.runs > 1),
        [],
    );
    const repeated = new Set(counts.requests.filter(row => row.runs > 1).map(row => row.id));
    assert.deepEqual(
        sent.filter(call => !call.idempotent && repeated.has(call.response?.requestId ?? "")),
        [],
    );
});
