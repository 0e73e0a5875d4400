import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createEventSource, signalStream, tickStream } from "../src/event-stream.js";

test("merged sources deliver items in the order in which they were pushed, and end when all have ended", async () => {
    const left = createEventSource<string>();
    const right = createEventSource<string>();
    const seen: string[] = [];
    const done = left.stream.merge(right.stream).forEach(item => seen.push(item));
    await delay(1);
    left.push("a");
    right.push("b");
    left.push("c");
    left.end();
    right.push("d");
    right.end();
    await done;
    assert.deepEqual(seen, ["a", "b", "c", "d"]);
});

test("an error thrown by an observer rejects its promise and is not thrown to the producer", async () => {
    const source = createEventSource<number>();
    const failed = source.stream.forEach(() => {
        throw new Error("observer failed");
    });
    const outcome = assert.rejects(failed, /observer failed/);
    await delay(1);
    assert.doesNotThrow(() => source.push(1));
    await outcome;
});

test("emits one tick after a pause of the process instead of all missed ticks", async () => {
    let ticks = 0;
    const stop = createEventSource<undefined>();
    const done = tickStream(10)
        .until(stop.stream)
        .forEach(() => {
            ticks += 1;
        });
    await delay(1);
    const end = performance.now() + 300;
    while (performance.now() < end) {
        // Blocks the event loop, as a pause of the process does.
    }
    await new Promise(resolve => setImmediate(resolve));
    assert.ok(ticks <= 2, `${ticks} ticks`);
    stop.push(undefined);
    await done;
});

test("a signal stream removes its listeners when it is no longer observed", async () => {
    const before = process.listenerCount("SIGUSR2");
    const first = signalStream(["SIGUSR2"])
        .take(1)
        .reduce((unusedSeen, signal) => signal as string, "");
    await delay(1);
    // A signal listener alone does not keep the event loop running.
    const keepAlive = setInterval(() => undefined, 1000);
    process.kill(process.pid, "SIGUSR2");
    assert.equal(await first, "SIGUSR2");
    clearInterval(keepAlive);
    assert.equal(process.listenerCount("SIGUSR2"), before);
});
