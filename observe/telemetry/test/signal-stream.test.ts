import assert from "node:assert/strict";
import test from "node:test";
import { signalStream } from "@almondusher/telemetry/event-stream";

test("delivers a signal that arrived before the stream was observed", async () => {
    const signals = signalStream(["SIGUSR2"]);
    process.emit("SIGUSR2", "SIGUSR2");
    const received = await new Promise<NodeJS.Signals>((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error("no signal")), 1000);
        const subscription = signals.subscribe({
            next: signal => {
                clearTimeout(timer);
                setImmediate(() => subscription.unsubscribe());
                resolve(signal);
            },
            error: reject,
            complete: () => undefined,
        });
    });
    assert.equal(received, "SIGUSR2");
});
