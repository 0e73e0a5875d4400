import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Transform } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";

export interface TcpRelayOptions {
    /** IP address and port to forward to. */
    readonly target: string;
    /** Port to listen on. A free port is selected if absent. */
    readonly port?: number;
    /** Rate at which all connections together carry data to callers, in bytes per second; unlimited if absent. */
    readonly bytesPerSecond?: number;
}

/** TCP relay between callers and one server that can simulate a lost network path. */
export interface TcpRelay {
    /** IP address and port on which the relay listens. */
    readonly address: string;
    /** Number of open connections from callers. */
    readonly connections: () => number;
    /** Stops forwarding on the existing connections but keeps them open. New connections work. */
    stall: () => void;
    /** Destroys the existing connections. */
    reset: () => void;
    close: () => Promise<void>;
}

interface RelayedPair {
    readonly caller: Socket;
    readonly endpoint: Socket;
    stalled: boolean;
}

const LOOPBACK = "127.0.0.1";

/** Starts a TCP relay on the loopback interface. */
export const startTcpRelay = async ({
    target,
    port = 0,
    bytesPerSecond = Infinity,
}: TcpRelayOptions): Promise<TcpRelay> => {
    const link = createLink(bytesPerSecond);
    const url = new URL(`http://${target}`);
    const pairs = new Set<RelayedPair>();
    const server = createServer({ noDelay: true }, caller => {
        const endpoint = connect({ host: url.hostname.replace(/^\[|\]$/g, ""), port: Number(url.port), noDelay: true });
        const pair = { caller, endpoint, stalled: false };
        pairs.add(pair);
        forward(pair, caller, endpoint);
        forward(pair, endpoint, caller, bytesPerSecond < Infinity ? link : undefined);
        [caller, endpoint].forEach(socket =>
            socket.once("close", () => {
                if (caller.destroyed && endpoint.destroyed) {
                    pairs.delete(pair);
                }
            }),
        );
    });
    server.listen(port, LOOPBACK);
    await once(server, "listening");
    const destroyAll = (): void =>
        pairs.forEach(({ caller, endpoint }) => {
            caller.destroy();
            endpoint.destroy();
        });
    return {
        address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
        connections: () => pairs.size,
        stall: () => pairs.forEach(stallPair),
        reset: destroyAll,
        close: async () => {
            server.close();
            destroyAll();
            await once(server, "close");
        },
    };
};

const stallPair = (pair: RelayedPair): void => {
    pair.stalled = true;
    pair.caller.unpipe(pair.endpoint).pause();
    pair.endpoint.unpipe().pause();
};

/** Resolves when the link, which carries one chunk after another, has carried a chunk of the given length. */
type Link = (bytes: number) => Promise<void>;

const createLink = (bytesPerSecond: number): Link => {
    let freeAtMs = Number.NEGATIVE_INFINITY;
    return async bytes => {
        const nowMs = performance.now();
        freeAtMs = Math.max(nowMs, freeAtMs) + (bytes / bytesPerSecond) * 1000;
        await sleep(freeAtMs - nowMs);
    };
};

// A small chunk keeps short messages from waiting for long ones of other connections.
const LINK_CHUNK_BYTES = 16_384;

const limitRate = (link: Link): Transform =>
    new Transform({
        readableHighWaterMark: LINK_CHUNK_BYTES,
        writableHighWaterMark: LINK_CHUNK_BYTES,
        transform: (chunk: Buffer, encoding, done) => {
            void link(chunk.length).then(() => done(undefined, chunk));
        },
    });

const forward = (pair: RelayedPair, from: Socket, to: Socket, link?: Link): void => {
    if (link === undefined) {
        from.pipe(to);
    } else {
        from.pipe(limitRate(link)).pipe(to);
    }
    from.on("error", () => from.destroy());
    from.once("close", hadError => {
        if (hadError && !pair.stalled) {
            to.destroy();
        }
    });
};
