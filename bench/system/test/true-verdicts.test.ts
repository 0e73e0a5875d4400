import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type CallAnswer, type CallOptions, callEntry } from "../src/call-entry.js";
import type { Deployment } from "../src/deployment.js";
import { readCounts, setFaults } from "../src/endpoint-control.js";
import { startFailureFleet } from "../src/failure-fleet.js";

const SEED = Number(process.env["SEED"] ?? 20_261_204);
const VMS = ["mixed-1", "mixed-2", "mixed-3", "mixed-4"];
const ROUNDS = 12;
const CALLS_PER_ROUND = 30;
const SETTLE_MS = 1_000;
const KINDS: readonly FaultInput[] = [
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

interface SentCall {
    readonly key: string | undefined;
    readonly idempotent: boolean;
    readonly answer: CallAnswer | undefined;
}

const draws = xoroshiro128plus(SEED);
const draw = (least: number, most: number): number => uniformInt(draws, least, most);

const drawCall = (number: number): CallOptions & { readonly key?: string } => {
    const headers = { "almondusher-timeout-ms": String(draw(300, 1_500)), "x-work-ms": String(draw(0, 60)) };
    switch (draw(0, 3)) {
        case 0:
            return { path: "/mixed", headers };
        case 1:
            return { path: "/mixed", method: "PUT", headers, body: "x".repeat(draw(1, 100_000)) };
        case 2:
            return { path: "/mixed", method: "POST", headers, body: "{}" };
        default: {
            const key = `key-${number}`;
            return { path: "/mixed", method: "POST", headers: { ...headers, "idempotency-key": key }, body: "{}", key };
        }
    }
};

const runRound = async (round: number): Promise<readonly SentCall[]> => {
    const faults = VMS.map(vm => ({ vm, fault: KINDS[draw(0, KINDS.length - 1)] ?? {} }));
    const calls = Array.from({ length: CALLS_PER_ROUND }, (unused, index) => drawCall(round * CALLS_PER_ROUND + index));
    const starts = calls.map(() => draw(0, 400));
    await Promise.all(faults.map(({ vm, fault }) => setFaults(deployment, [vm], fault)));
    const sent = calls.map(async (call, index): Promise<SentCall> => {
        await pause(starts[index]);
        const entry = deployment.entries[index % deployment.entries.length] ?? { callerUrl: "" };
        const result = await callEntry(entry, call);
        return {
            key: call.key,
            idempotent: call.method !== "POST",
            answer: result.kind === "answer" ? result : undefined,
        };
    });
    return Promise.all(sent);
};

test("every verdict not-run is confirmed by the endpoints, and only idempotent requests run twice", async context => {
    context.diagnostic(`seed ${SEED}`);
    const sent: SentCall[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
        sent.push(...(await runRound(round)));
    }
    await setFaults(deployment, VMS);
    // Requests that a frozen endpoint held back run now, if at all.
    await pause(SETTLE_MS);
    const counts = await readCounts(deployment);
    const runsOfRequest = new Map(counts.requests.map(row => [row.id, row.runs]));
    const runsOfKey = new Map(counts.keys.map(row => [row.id, row.runs]));
    const runsOf = ({ key, answer }: SentCall): number =>
        key === undefined ? (runsOfRequest.get(answer?.requestId ?? "") ?? 0) : (runsOfKey.get(key) ?? 0);

    const byVerdict = (verdict: string | undefined) => sent.filter(call => call.answer?.verdict === verdict);
    const notRun = byVerdict("not-run");
    const answered = sent.filter(call => call.answer?.status === 200);
    context.diagnostic(
        `${sent.length} calls: ${answered.length} answered, ${notRun.length} not-run, ${byVerdict("may-have-run").length} may-have-run`,
    );
    assert.ok(notRun.length > 0 && answered.length > 0, "the faults gave no rejection or no answer");
    assert.deepEqual(
        notRun.filter(call => runsOf(call) > 0).map(call => [call.answer?.requestId, call.answer?.cause]),
        [],
    );
    assert.deepEqual(
        answered.filter(call => runsOf(call) === 0).map(call => call.answer?.requestId),
        [],
    );
    assert.deepEqual(
        counts.keys.filter(row => row.runs > 1),
        [],
    );
    const repeated = new Set(counts.requests.filter(row => row.runs > 1).map(row => row.id));
    assert.deepEqual(
        sent.filter(call => !call.idempotent && repeated.has(call.answer?.requestId ?? "")),
        [],
    );
});
