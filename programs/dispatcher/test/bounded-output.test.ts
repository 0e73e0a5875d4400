import assert from "node:assert/strict";
import { execFileSync, spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "node:test";
import { createBoundedOutput } from "@almondusher/dispatcher/bounded-output";

test("a stalled reader does not block the writer, and lines beyond the buffer limit are dropped and counted", async () => {
    const directory = mkdtempSync(join(tmpdir(), "almondusher-log-"));
    const pipe = join(directory, "pipe");
    execFileSync("mkfifo", [pipe]);
    // Holds the pipe open and never reads.
    const reader = spawn("sleep", ["30"], { stdio: [openSync(pipe, "r+"), "ignore", "ignore"] });
    const descriptor = openSync(pipe, "w");
    const output = createBoundedOutput({ descriptor, maxBuffered: 100_000 });
    const startedMs = performance.now();
    const line = `${"x".repeat(999)}\n`;
    Array.from({ length: 2000 }).forEach(() => output.write(line));
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.ok(performance.now() - startedMs < 1000, "writing returns at once");
    assert.ok(output.dropped() >= 1700, `${output.dropped()} dropped`);
    reader.kill("SIGKILL");
    execFileSync("sh", ["-c", `timeout 1 cat ${pipe} > /dev/null || true`]);
    closeSync(descriptor);
    rmSync(directory, { recursive: true, force: true });
});

test("lines written one by one and in bursts arrive complete and in order, and a flush waits for the collected ones", async () => {
    const directory = mkdtempSync(join(tmpdir(), "almondusher-log-"));
    const file = join(directory, "log");
    const descriptor = openSync(file, "w");
    const output = createBoundedOutput({ descriptor, maxBuffered: 1_000_000 });
    const lines = Array.from({ length: 600 }, (unused, index) => `line ${index} ${"é".repeat(index % 40)}\n`);
    for (const [index, line] of lines.entries()) {
        output.write(line);
        if (index < 100 && index % 10 === 0) {
            await new Promise(resolve => setTimeout(resolve, 3));
        }
    }
    await output.flush(2000);
    assert.equal(readFileSync(file, "utf8"), lines.join(""));
    output.write("last\n");
    await output.flush(2000);
    assert.equal(readFileSync(file, "utf8"), `${lines.join("")}last\n`);
    assert.equal(output.dropped(), 0);
    closeSync(descriptor);
    rmSync(directory, { recursive: true, force: true });
});
