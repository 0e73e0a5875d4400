import assert from "node:assert/strict";
import { test } from "node:test";
import { createWaveStatus } from "../src/wave-status.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("a wave that is completed during an outage is never shown as running afterwards", async () => {
    const stored: string[] = [];
    let down = true;
    const status = createWaveStatus({
        store: {
            transact: ({ writes: [write] }) => {
                if (down) {
                    return Promise.resolve({ kind: "not-run", reason: "status 503" });
                }
                stored.push(write?.value ?? "");
                return Promise.resolve({ kind: "committed", version: 1, nowMs: 0 });
            },
        },
        log: () => undefined,
        isActive: () => true,
        sleep: nextTurn,
    });
    status.publish(1, "running");
    await nextTurn();
    status.publish(1, "completed");
    down = false;
    await nextTurn();
    await nextTurn();
    assert.equal(stored.length, 1);
    assert.match(stored[0] ?? "", /completed/);
});

test("a state that changes while it is written is written again", async () => {
    const stored: string[] = [];
    const status = createWaveStatus({
        store: {
            transact: async ({ writes: [write] }) => {
                await nextTurn();
                stored.push(write?.value ?? "");
                return { kind: "committed", version: 1, nowMs: 0 };
            },
        },
        log: () => undefined,
        isActive: () => true,
        sleep: nextTurn,
    });
    status.publish(1, "running");
    status.publish(1, "completed");
    await nextTurn();
    await nextTurn();
    await nextTurn();
    assert.match(stored.at(-1) ?? "", /completed/);
    assert.equal(stored.length, 2);
});
