import { createServer, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { PeerService } from "./gen/almondusher/peer/v1/peer_pb.js";
import { type AccessFailure, checkCalls } from "./peer-access.js";

// Bounds the memory of one call. A snapshot of a fleet of the target size is about 200 KB, a tenth of this.
const MAX_MESSAGE_BYTES = 2 * 1024 ** 2;

/** Compresses snapshots only: for the small messages sent every second, compression costs more than it saves. */
export const COMPRESS_MIN_BYTES = 16 * 1024;

/** Handlers of the calls that a process serves on its peer port. */
export type PeerHandlers = ServiceImpl<typeof PeerService>;

export interface PeerServerOptions {
    readonly listen: ListenAddress;
    readonly secret: string;
    readonly handlers: Partial<PeerHandlers>;
    /** Called when a call is rejected for its secret or protocol version. */
    readonly onAccessFailure: (failure: AccessFailure) => void;
    /** Called when a handler finds a message malformed. */
    readonly onBadMessage: () => void;
}

export interface PeerServer {
    readonly port: number;
    /** Stops listening and closes all connections at once. */
    close: () => Promise<void>;
}

/** Serves the peer protocol over HTTP/2 without TLS; the promise rejects if the address cannot be bound. */
export const startPeerServer = async (options: PeerServerOptions): Promise<PeerServer> => {
    const sessions = new Set<ServerHttp2Session>();
    const server = createServer(
        connectNodeAdapter({
            routes: router => router.service(PeerService, options.handlers),
            interceptors: [
                checkCalls({ secret: options.secret, onFailure: options.onAccessFailure }),
                next => request => next(request).catch(error => rethrowAsConnectError(error, options.onBadMessage)),
            ],
            readMaxBytes: MAX_MESSAGE_BYTES,
            compressMinBytes: COMPRESS_MIN_BYTES,
        }),
    );
    server.on("session", session => {
        sessions.add(session);
        session.on("close", () => sessions.delete(session));
        session.on("error", () => session.destroy());
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.listen.port, options.listen.ip, resolve);
    });
    return {
        port: (server.address() as AddressInfo).port,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sessions.forEach(session => session.destroy());
            }),
    };
};

const rethrowAsConnectError = (error: unknown, onBadMessage: () => void): never => {
    if (error instanceof FleetError && error.code === "bad-message") {
        onBadMessage();
        throw new ConnectError(error.message, Code.InvalidArgument);
    }
    throw error;
};
