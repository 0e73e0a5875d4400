import assert from "node:assert/strict";
import { test } from "node:test";
import { listCounters } from "@almondusher/telemetry/counters";
import { signalStream } from "@almondusher/telemetry/event-stream";
import type { CallerServer } from "../src/caller-server.js";
import { runEventLoop } from "../src/entry-events.js";
import { createTestEntry } from "./entry-fixture.js";

const RUN_MS = 600;

test("an unexpected error while an event is handled ends neither the event loop nor the process", async () => {
    const entry = await createTestEntry();
    const callerServer: CallerServer = { port: 0, close: () => Promise.resolve() };
    let failures = 0;
    entry.tables.pools.forEach = () => {
        failures++;
        throw new Error("odd pool");
    };
    const loop = runEventLoop(entry, callerServer, signalStream(["SIGUSR2"])).then(
        () => "ended",
        (error: unknown) => `failed: ${String(error)}`,
    );
    const running = new Promise(resolve => setTimeout(resolve, RUN_MS, "running"));
    assert.equal(await Promise.race([loop, running]), "running");
    assert.ok(failures > 1, "events after the error were not handled");
    const [counted] = listCounters(entry.counters).filter(({ name }) => name === "internal-errors");
    assert.ok((counted?.value ?? 0) >= failures);
    entry.tables.phase = "serving";
    process.emit("SIGUSR2", "SIGUSR2");
    assert.equal(await loop, "ended");
});
