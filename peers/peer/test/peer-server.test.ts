import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { Code, ConnectError } from "@connectrpc/connect";
import fc from "fast-check";
import { type DataCentreName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Peer } from "../src/membership.js";
import { createPeerClient } from "../src/peer-client.js";
import { memberFields, readMember } from "../src/peer-schema.js";
import { startPeerServer } from "../src/peer-server.js";

const SECRET = "0123456789abcdef0123456789abcdef";
const FUZZ_SEED = 20_261_204;

const self: Peer = {
    vmId: toId<VmId>("entry-1"),
    processId: toId<ProcessId>("process-1"),
    peerUrl: "http://127.0.0.1:1",
    dataCentre: toId<DataCentreName>("quimper"),
    revision: 7,
    registered: true,
    vmListAgeMs: 0,
};

const startServer = async () => {
    const failures: string[] = [];
    const server = await startPeerServer({
        listen: { ip: "127.0.0.1", port: 0 },
        secret: SECRET,
        handlers: {
            exchange: request => {
                readMember(request.sender);
                return { responder: memberFields(self) };
            },
        },
        onAccessFailure: failure => failures.push(failure),
        onBadMessage: () => failures.push("bad-message"),
    });
    return { server, failures, url: `http://127.0.0.1:${server.port}` };
};

const clientOf = (url: string, secret = SECRET) => createPeerClient({ url, secret, timeoutMs: 2000 });

test("serves a call that carries the shared secret", async () => {
    const { server, url } = await startServer();
    const client = clientOf(url);
    const response = await client.calls.exchange({ sender: memberFields(self) });
    assert.deepEqual(readMember(response.responder), self);
    client.disconnect();
    await server.close();
});

test("rejects and reports a wrong secret and a malformed sender, and keeps serving", async () => {
    const { server, failures, url } = await startServer();
    const unauthenticated = clientOf(url, "f".repeat(32));
    await assert.rejects(
        unauthenticated.calls.exchange({ sender: memberFields(self) }),
        error => error instanceof ConnectError && error.code === Code.Unauthenticated,
    );
    const client = clientOf(url);
    await assert.rejects(
        client.calls.exchange({ sender: { ...memberFields(self), vmId: "../etc" } }),
        error => error instanceof ConnectError && error.code === Code.InvalidArgument,
    );
    assert.ok(await client.calls.exchange({ sender: memberFields(self) }));
    assert.deepEqual(failures, ["wrong-secret", "bad-message"]);
    [unauthenticated, client].forEach(each => each.disconnect());
    await server.close();
});

test("keeps serving after connections that send random bytes", async () => {
    const { server, url } = await startServer();
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async bytes => {
            await new Promise<void>(resolve => {
                const socket = connect(server.port, "127.0.0.1", () => socket.end(bytes));
                socket.on("error", () => undefined);
                socket.on("close", () => resolve());
                socket.resume();
            });
        }),
        { seed: FUZZ_SEED, numRuns: 50 },
    );
    const client = clientOf(url);
    assert.ok(await client.calls.exchange({ sender: memberFields(self) }));
    client.disconnect();
    await server.close();
});
