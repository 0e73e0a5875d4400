import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { toId } from "@almondusher/fleet/ids";
import { createLogger, logEvent } from "../src/logger.js";

test("redacts a secret in every field of an event, also within a message", () => {
    const lines: string[] = [];
    const stream = new Writable({
        write: (chunk: Buffer, unusedEncoding, done) => {
            lines.push(chunk.toString());
            done();
        },
    });
    const logger = createLogger({
        program: "test",
        processId: toId("p1"),
        vm: toId("vm-1"),
        level: "info",
        stream,
        secrets: ["hush-hush"],
    });
    logEvent(logger, { kind: "settings-invalid", message: "key hush-hush", details: ["also hush-hush"] });
    const entry = JSON.parse(lines.join("")) as Record<string, unknown>;
    assert.doesNotMatch(lines.join(""), /hush-hush/);
    assert.equal(entry["event"], "settings-invalid");
    assert.equal(entry["level"], 50);
    assert.equal(entry["vm"], "vm-1");
});
