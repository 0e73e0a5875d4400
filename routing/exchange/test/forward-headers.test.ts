import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { forwardHeaders } from "../src/forward-headers.js";
import { checkProgress } from "../src/check-progress.js";

const SEED = 20_261_204;

test("hop-by-hop headers and headers listed in Connection are removed, and the others keep their order", () => {
    const headers = ["Host", "a", "Connection", "close, X-Hop", "x-hop", "1", "TE", "trailers", "Accept", "b"];
    headers.push("Transfer-Encoding", "chunked", "Upgrade", "h2c", "Via", "1.0 one", "Via", "1.1 two", "Accept", "c");
    assert.deepEqual(forwardHeaders({ headers, via: "entry" }), [
        ...["Host", "a", "Accept", "b", "Accept", "c"],
        ...["via", "1.0 one, 1.1 two, 1.1 entry"],
    ]);
});

test("Connection cannot remove Host or Content-Length", () => {
    const headers = ["connection", "host, content-length", "host", "a", "content-length", "3"];
    assert.deepEqual(forwardHeaders({ headers, via: "e" }), ["host", "a", "content-length", "3", "via", "1.1 e"]);
});

test(`end-to-end headers are never removed (seed ${SEED})`, () => {
    const pair = fc.tuple(fc.stringMatching(/^x-[a-z]{1,8}$/), fc.string());
    fc.assert(
        fc.property(fc.array(pair), pairs => {
            const headers = pairs.flat();
            assert.deepEqual(forwardHeaders({ headers, via: "e" }), [...headers, "via", "1.1 e"]);
        }),
        { seed: SEED },
    );
});

test("a connection is lost after three missed intervals, unless the caller is slow or the head was received", () => {
    const silent = {
        now: 10_000,
        lastProgressAt: 0,
        progressIntervalMs: 3_000,
        headReceived: false,
        waitsForCaller: false,
    };
    assert.equal(checkProgress(silent), "lost");
    assert.equal(checkProgress({ ...silent, now: 9_000 }), "waiting");
    assert.equal(checkProgress({ ...silent, waitsForCaller: true }), "waiting");
    assert.equal(checkProgress({ ...silent, headReceived: true }), "waiting");
    assert.equal(checkProgress({ ...silent, progressIntervalMs: undefined, now: 1e9 }), "waiting");
});
