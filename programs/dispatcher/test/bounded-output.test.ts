import assert from "node:assert/strict";
import { execFileSync, spawn } from "node:child_process";
import fs, { closeSync, mkdtempSync, openSync, rmSync } from "node:fs";
import { syncBuiltinESMExports } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type TestContext } from "node:test";
import { createBoundedOutput } from "@almondusher/dispatcher/process/bounded-output";

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

const MAX_TAKEN_BYTES = 8192;
// Never opened, since writes to it are replaced.
const LIMITED_DESCRIPTOR = 9999;

/** Replaces fs.write by a reader that takes only the first bytes of each write; the first write lasts until `open`. */
const startLimitedReader = (context: TestContext) => {
    const writes: string[] = [];
    let open = (): void => undefined;
    const takeWrite = (descriptor: number, chunk: Buffer, done: (error: undefined, written: number) => void): void => {
        // The output of the test above may still be writing.
        if (descriptor !== LIMITED_DESCRIPTOR) {
            return;
        }
        writes.push(chunk.subarray(0, MAX_TAKEN_BYTES).toString());
        const answer = (): void => done(undefined, chunk.length);
        if (writes.length === 1) {
            open = answer;
        } else {
            setImmediate(answer);
        }
    };
    const mock = context.mock.method(fs, "write", takeWrite);
    syncBuiltinESMExports();
    context.after(() => {
        mock.mock.restore();
        syncBuiltinESMExports();
    });
    return { writes, open: () => open() };
};

test("lines that waited for a slow write must not be lost to a reader that takes 8 KB of a write", async context => {
    const { writes, open } = startLimitedReader(context);
    const output = createBoundedOutput({ descriptor: LIMITED_DESCRIPTOR, maxBuffered: 1_000_000 });
    const lines = Array.from({ length: 400 }, (unused, index) => `${index} ${"é".repeat(index % 120)}\n`);
    output.write("first\n");
    lines.forEach(output.write);
    open();
    await output.flush(1000);
    assert.equal(writes.join(""), ["first\n", ...lines].join(""));
    assert.equal(output.dropped(), 0);
    const bytes = Buffer.byteLength(lines.join(""));
    assert.ok(writes.length <= 2 + bytes / 2048, `${writes.length} writes for ${bytes} bytes`);
    assert.ok(writes.every(text => text.endsWith("\n") && Buffer.byteLength(text) <= 4096));
});

test("a line that exceeds the size of a write is written alone and whole", async context => {
    const { writes, open } = startLimitedReader(context);
    const output = createBoundedOutput({ descriptor: LIMITED_DESCRIPTOR, maxBuffered: 1_000_000 });
    const long = `${"x".repeat(6000)}\n`;
    ["first\n", "a\n", long, "b\n"].forEach(output.write);
    open();
    await output.flush(1000);
    assert.deepEqual(writes, ["first\n", "a\n", long, "b\n"]);
});
