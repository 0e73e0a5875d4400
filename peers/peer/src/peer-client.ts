import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { PeerService } from "./gen/almondusher/peer/v1/peer_pb.js";
import { authorizeCalls } from "./peer-access.js";
import { COMPRESS_MIN_BYTES } from "./peer-server.js";

const MAX_MESSAGE_BYTES = 2 * 1024 ** 2;

/** Calls one peer over one HTTP/2 connection. */
export interface PeerClient {
    readonly url: string;
    readonly calls: Client<typeof PeerService>;
    /** Closes the connection and aborts its calls; the next call opens a new one. */
    disconnect: () => void;
}

export interface PeerClientOptions {
    readonly url: string;
    readonly secret: string;
    /** Timeout of a call, in milliseconds. */
    readonly timeoutMs: number;
}

/** Creates a client, which connects on its first call. */
export const createPeerClient = ({ url, secret, timeoutMs }: PeerClientOptions): PeerClient => {
    const sessions = new Http2SessionManager(url);
    const transport = createConnectTransport({
        baseUrl: url,
        httpVersion: "2",
        sessionManager: sessions,
        interceptors: [authorizeCalls(secret)],
        defaultTimeoutMs: timeoutMs,
        readMaxBytes: MAX_MESSAGE_BYTES,
        compressMinBytes: COMPRESS_MIN_BYTES,
    });
    return { url, calls: createClient(PeerService, transport), disconnect: () => sessions.abort() };
};
