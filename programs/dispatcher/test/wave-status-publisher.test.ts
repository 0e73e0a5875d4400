import assert from "node:assert/strict";
import { test } from "node:test";
import { createWaveStatusPublisher, type WaveStatusPublisherOptions } from "../src/fleet/wave-status-publisher.js";

const recordingStore = (stored: string[]): WaveStatusPublisherOptions["store"] => ({
    transact: ({ writes: [write] }) => {
        stored.push(write?.value ?? "");
        return Promise.resolve({ kind: "committed", version: 1, nowMs: 0 });
    },
});

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Options of a fleet manager that holds a confirmed lease. */
const CONFIRMED: Omit<WaveStatusPublisherOptions, "store"> = {
    log: () => undefined,
    isActive: () => true,
    mayPublish: () => true,
    sleep: nextTurn,
    onCompletionStored: () => undefined,
};

test("a wave completed during a store outage is never published as running afterwards", async () => {
    const stored: string[] = [];
    let down = true;
    const publisher = createWaveStatusPublisher({
        store: {
            transact: ({ writes: [write] }) => {
                if (down) {
                    return Promise.resolve({ kind: "not-run", reason: "status 503" });
                }
                stored.push(write?.value ?? "");
                return Promise.resolve({ kind: "committed", version: 1, nowMs: 0 });
            },
        },
        ...CONFIRMED,
    });
    publisher.publish(1, "running");
    await nextTurn();
    publisher.publish(1, "completed");
    down = false;
    await nextTurn();
    await nextTurn();
    assert.equal(stored.length, 1);
    assert.match(stored[0] ?? "", /completed/);
});

test("a state published while an earlier one is being stored is stored after it", async () => {
    const stored: string[] = [];
    const publisher = createWaveStatusPublisher({
        store: {
            transact: async ({ writes: [write] }) => {
                await nextTurn();
                stored.push(write?.value ?? "");
                return { kind: "committed", version: 1, nowMs: 0 };
            },
        },
        ...CONFIRMED,
    });
    publisher.publish(1, "running");
    publisher.publish(1, "completed");
    await nextTurn();
    await nextTurn();
    await nextTurn();
    assert.match(stored.at(-1) ?? "", /completed/);
    assert.equal(stored.length, 2);
});

test("a fleet manager without a confirmed lease publishes nothing, since its successor may have completed the wave", async () => {
    const stored: string[] = [];
    const holder = { isActive: true, mayPublish: false };
    const publisher = createWaveStatusPublisher({
        store: recordingStore(stored),
        ...CONFIRMED,
        isActive: () => holder.isActive,
        mayPublish: () => holder.mayPublish,
    });
    publisher.publish(1, "running");
    await nextTurn();
    assert.deepEqual(stored, []);
    holder.isActive = false;
    await nextTurn();
    assert.deepEqual(stored, [], "the lease was lost meanwhile");
});

test("a state is published once the lease is renewed again", async () => {
    const stored: string[] = [];
    const holder = { mayPublish: false };
    const publisher = createWaveStatusPublisher({
        store: recordingStore(stored),
        ...CONFIRMED,
        mayPublish: () => holder.mayPublish,
    });
    publisher.publish(1, "running");
    await nextTurn();
    holder.mayPublish = true;
    await nextTurn();
    await nextTurn();
    assert.equal(stored.length, 1);
});

test("neither a successor nor a late write of running replaces the published completion of a wave", async () => {
    const stored: string[] = [];
    const attempts: (() => void)[] = [];
    let answered = false;
    const publisher = createWaveStatusPublisher({
        store: {
            transact: ({ expect, writes: [write] }) => {
                const attempt = (): boolean => {
                    const holds = expect.every(({ version }) => version === stored.length);
                    stored.push(...(holds ? [write?.value ?? ""] : []));
                    return holds;
                };
                attempts.push(attempt);
                if (!answered) {
                    answered = true;
                    return Promise.resolve({ kind: "unknown", reason: "no answer" });
                }
                return Promise.resolve(
                    attempt()
                        ? { kind: "committed", version: stored.length, nowMs: 0 }
                        : { kind: "conflict", rows: [] },
                );
            },
        },
        ...CONFIRMED,
    });
    publisher.publish(1, "running");
    publisher.publish(1, "completed");
    await nextTurn();
    await nextTurn();
    attempts[0]?.();
    publisher.publish(1, "running");
    await nextTurn();
    await nextTurn();
    assert.match(stored.at(-1) ?? "", /completed/);
});
