import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { startEndpointStandIn } from "@almondusher/endpoint-stand-in/start-endpoint-stand-in";
import { startTcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { type VmId, toId } from "@almondusher/fleet/ids";
import { createConnectionPool, dumpConnectionPool } from "../src/connection-pool.js";
import { type ExchangeRecord, startRecorded } from "./record-exchange.js";

const SEED = 7;
const REQUESTS = 1_500;
const STOP_MS = 1_000;

const faults: readonly FaultInput[] = [
    {},
    {},
    { refuse: true },
    { failFast: true },
    { closeWithoutAnswer: true },
    { closeAfterHead: true },
    { cutBody: true },
    { contentLengthError: 3 },
    { contentLengthError: -3 },
    { answerTwice: true },
    { unsolicitedAfterMs: 1 },
    { crossAnswers: true },
    { answerDelayMs: 20 },
    { down: true },
];

// A small linear congruential generator: the sequence of faults depends on the seed alone.
const generator = (seed: number) => {
    let state = seed;
    return (bound: number): number => {
        state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
        return Math.floor((state / 2 ** 31) * bound);
    };
};

test(`under faults, not-run requests never ran and no response reaches another request (seed ${SEED})`, async context => {
    const vms = ["vm-1", "vm-2", "vm-3"].map(name => toId<VmId>(name));
    const standIn = await startEndpointStandIn({ vms: vms.map(vm => ({ vm, port: 0 })) });
    const relays = await Promise.all(standIn.vms.map(({ address }) => startTcpRelay({ target: address })));
    context.after(async () => {
        await Promise.all(relays.map(relay => relay.close()));
        await standIn.close();
    });
    const connections = createConnectionPool();
    const random = generator(SEED);
    const results: Promise<{ requestId: string; record: ExchangeRecord }>[] = [];
    const cancels: (() => void)[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
        const chosen = random(vms.length);
        const address = random(2) === 0 ? relays[chosen]?.address : standIn.vms[chosen]?.address;
        const requestId = `request-${index}`;
        const { exchange, result } = startRecorded(connections, {
            address: address ?? "",
            method: random(2) === 0 ? "POST" : "GET",
            headers: ["almondusher-request-id", requestId, "x-answer-bytes", String(random(4) * 50_000)],
            requestId,
        });
        results.push(result.then(record => ({ requestId, record })));
        cancels.push(exchange.cancel);
        if (index % 10 === 0) {
            await standIn.vms[random(vms.length)]?.setFaults(faults[random(faults.length)] ?? {});
            relays[random(vms.length)]?.[random(20) === 0 ? "reset" : "connections"]();
            await delay(random(8));
        }
    }
    await delay(STOP_MS);
    cancels.forEach(cancel => cancel());
    const ended = await Promise.all(results);
    const ran = new Set(standIn.runsByRequest().map(({ id }) => id));
    ended.forEach(({ requestId, record }) => {
        assert.equal(record.ends, 1, requestId);
        assert.ok(record.failure?.verdict !== "not-run" || !ran.has(requestId), `${requestId} ran`);
        if (record.failure === undefined) {
            assert.ok(
                record.body.startsWith(`{"requestId":"${requestId}"`),
                `${requestId}: ${record.body.slice(0, 60)}`,
            );
        }
    });
    const causes = ended.map(({ record }) => record.failure?.cause ?? "complete");
    const counts = [...new Set(causes)].map(cause => `${cause} ${causes.filter(other => other === cause).length}`);
    context.diagnostic(counts.join(", "));
    context.diagnostic(JSON.stringify(dumpConnectionPool(connections).closed));
    assert.ok(causes.includes("complete") && causes.includes("bad-answer") && causes.includes("connection-lost"));
});
