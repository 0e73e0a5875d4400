import {
    type CloseReason,
    closeReasons,
    type Connection,
    openConnection,
    type OpenConnectionOptions,
    openOneShot,
    type PooledConnection,
} from "./connection.js";
import type { EndpointEchoes } from "./endpoint-echo.js";

export interface ConnectionsOptions {
    /** Idle time after which a connection is closed. */
    readonly idleMs?: number;
    /** Age after which a connection is closed once it is idle. */
    readonly maxAgeMs?: number;
    /** Idle time up to which a connection may carry a request that demands a fresh one. */
    readonly nonIdempotentIdleMs?: number;
    readonly connectTimeoutMs?: number;
    /** Silence after which TCP starts to probe the peer. */
    readonly keepAliveInitialDelayMs?: number;
    /** Largest head of an answer. */
    readonly maxHeadBytes?: number;
}

// Endpoints commonly close idle connections after 5 s; a shorter limit avoids most races with that.
const DEFAULT_IDLE_MS = 4_000;
// Bounds how long a path that silently degrades stays in use.
const DEFAULT_MAX_AGE_MS = 5 * 60_000;
const DEFAULT_NON_IDEMPOTENT_IDLE_MS = 1_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_KEEP_ALIVE_INITIAL_DELAY_MS = 5_000;
const DEFAULT_MAX_HEAD_BYTES = 64 * 1024;
const SWEEP_MS = 1_000;

interface AddressConnections {
    readonly open: Set<Connection>;
    /** Most recently used last. */
    readonly idle: PooledConnection[];
}

/** All connections of one entry process to endpoint VMs, by address. */
export interface Connections {
    readonly settings: Required<ConnectionsOptions>;
    readonly byAddress: Map<string, AddressConnections>;
    readonly echoes: EndpointEchoes;
    readonly closed: Record<CloseReason, number>;
    opened: number;
    reused: number;
    probes: number;
    settling: PooledConnection[];
    stopping: boolean;
    /** Called when the last connection of a stopping pool has closed. */
    onDrained: (() => void) | undefined;
    readonly sweeper: NodeJS.Timeout;
}

/** Creates an empty pool of connections. */
export const createConnections = (options: ConnectionsOptions = {}): Connections => {
    const connections: Connections = {
        settings: {
            idleMs: options.idleMs ?? DEFAULT_IDLE_MS,
            maxAgeMs: options.maxAgeMs ?? DEFAULT_MAX_AGE_MS,
            nonIdempotentIdleMs: options.nonIdempotentIdleMs ?? DEFAULT_NON_IDEMPOTENT_IDLE_MS,
            connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
            keepAliveInitialDelayMs: options.keepAliveInitialDelayMs ?? DEFAULT_KEEP_ALIVE_INITIAL_DELAY_MS,
            maxHeadBytes: options.maxHeadBytes ?? DEFAULT_MAX_HEAD_BYTES,
        },
        byAddress: new Map(),
        echoes: new Map(),
        closed: Object.fromEntries(closeReasons.map(reason => [reason, 0])) as Record<CloseReason, number>,
        opened: 0,
        reused: 0,
        probes: 0,
        settling: [],
        stopping: false,
        onDrained: undefined,
        sweeper: setInterval(() => sweep(connections), SWEEP_MS).unref(),
    };
    return connections;
};

export interface AcquireOptions {
    readonly address: string;
    /** Demands a connection that is new or was used within `nonIdempotentIdleMs`. */
    readonly fresh: boolean;
    /** Demands a connection that has carried no request. */
    readonly unused?: boolean;
    /** Connections that this process may hold to the address. */
    readonly limit: number;
}

/** Address and limit of a connection that is not reused. */
export type OneShotOptions = Omit<AcquireOptions, "fresh" | "unused">;

/** Takes a connection for one exchange; undefined if the limit is reached or the pool is stopping. */
export const acquireConnection = (connections: Connections, options: AcquireOptions): PooledConnection | undefined => {
    if (connections.stopping) {
        return undefined;
    }
    const now = performance.now();
    const entry = connections.byAddress.get(options.address) ?? { open: new Set(), idle: [] };
    const idleLimit = options.fresh ? connections.settings.nonIdempotentIdleMs : connections.settings.idleMs;
    const reusable = options.unused === true ? undefined : takeReusable(connections, entry, now, idleLimit);
    if (reusable !== undefined) {
        connections.reused += 1;
        return reusable;
    }
    if (entry.open.size >= options.limit && !closeOldestIdle(connections, entry)) {
        return undefined;
    }
    return open(connections, entry, options.address, now);
};

/** Opens a connection for a single exchange; undefined if the limit is reached or the pool is stopping. */
export const acquireOneShot = (
    connections: Connections,
    { address, limit }: OneShotOptions,
): Connection | undefined => {
    const entry = connections.byAddress.get(address) ?? { open: new Set(), idle: [] };
    if (connections.stopping || (entry.open.size >= limit && !closeOldestIdle(connections, entry))) {
        return undefined;
    }
    const connection = openOneShot(openOptions(connections, address, performance.now()));
    entry.open.add(connection);
    connections.byAddress.set(address, entry);
    return connection;
};

/** Returns a connection after a complete exchange; it is reused once no further bytes were seen in this turn. */
export const releaseConnection = (connections: Connections, connection: PooledConnection): void => {
    if (connection.phase === "closed") {
        return;
    }
    connection.phase = "settling";
    connection.bytesReadWhenIdle = connection.socket?.bytesRead ?? 0;
    connection.idleSince = performance.now();
    connections.settling.push(connection);
    if (connections.settling.length === 1) {
        // An answer that is followed by further bytes in the same segment must not reach the next request.
        setImmediate(settle, connections);
    }
};

/** True if a connection to the address becomes reusable in this turn of the event loop. */
export const isSettling = (connections: Connections, address: string): boolean =>
    !connections.stopping && connections.settling.some(connection => connection.address === address);

/** Closes a connection at once and counts the reason. */
export const closeConnection = (connections: Connections, connection: Connection, reason: CloseReason): void => {
    if (connection.phase === "closed") {
        return;
    }
    connection.phase = "closed";
    connections.closed[reason] += 1;
    const entry = connections.byAddress.get(connection.address);
    entry?.open.delete(connection);
    connection.close();
    if (entry?.open.size === 0) {
        connections.byAddress.delete(connection.address);
    }
    if (connections.byAddress.size === 0) {
        connections.onDrained?.();
    }
};

/** Stops new exchanges, closes idle connections and resolves when the exchanges in flight have ended. */
export const closeConnections = async (connections: Connections): Promise<void> => {
    connections.stopping = true;
    clearInterval(connections.sweeper);
    allConnections(connections)
        .filter(connection => connection.phase === "idle")
        .forEach(connection => closeConnection(connections, connection, "pool-closed"));
    if (connections.byAddress.size > 0) {
        await new Promise<void>(resolve => {
            connections.onDrained = resolve;
        });
    }
};

/** One address in the state dump. */
interface ConnectionsDumpRow {
    readonly address: string;
    readonly busy: number;
    readonly idle: number;
    /** Age of the oldest connection in milliseconds. */
    readonly oldestMs: number;
}

/** What the state dump shows of the connections. */
export interface ConnectionsDump {
    readonly opened: number;
    readonly reused: number;
    readonly probes: number;
    readonly closed: Readonly<Record<CloseReason, number>>;
    readonly addresses: readonly ConnectionsDumpRow[];
}

/** Describes the connections for the state dump. */
export const dumpConnections = (connections: Connections): ConnectionsDump => ({
    opened: connections.opened,
    reused: connections.reused,
    probes: connections.probes,
    closed: { ...connections.closed },
    addresses: [...connections.byAddress].map(([address, { open }]) => {
        const now = performance.now();
        const rows = [...open];
        const busy = rows.filter(connection => connection.phase === "busy").length;
        return {
            address,
            busy,
            idle: rows.length - busy,
            oldestMs: Math.round(Math.max(0, ...rows.map(connection => now - connection.openedAt))),
        };
    }),
});

const allConnections = (connections: Connections): Connection[] =>
    [...connections.byAddress.values()].flatMap(entry => [...entry.open]);

const takeReusable = (
    connections: Connections,
    entry: AddressConnections,
    now: number,
    idleLimitMs: number,
): PooledConnection | undefined => {
    const connection = entry.idle.at(-1);
    if (connection === undefined || now - connection.idleSince > idleLimitMs) {
        return undefined;
    }
    entry.idle.pop();
    if (connection.phase === "idle" && isReusable(connections, connection, now)) {
        connection.phase = "busy";
        return connection;
    }
    return takeReusable(connections, entry, now, idleLimitMs);
};

const isReusable = (connections: Connections, connection: Connection, now: number): boolean => {
    const reason = staleReason(connections, connection, now);
    if (reason !== undefined) {
        closeConnection(connections, connection, reason);
    }
    return reason === undefined;
};

const staleReason = (connections: Connections, connection: Connection, now: number): CloseReason | undefined => {
    const socket = connection.socket;
    if (socket === undefined || socket.destroyed || !socket.writable || connection.closedByEndpoint) {
        return idleCloseReason(connection);
    }
    if (socket.bytesRead !== connection.bytesReadWhenIdle) {
        return "unsolicited-bytes";
    }
    if (now - connection.openedAt > connections.settings.maxAgeMs) {
        return "age-limit";
    }
    return now - connection.idleSince > connections.settings.idleMs ? "idle-limit" : undefined;
};

const closeOldestIdle = (connections: Connections, entry: AddressConnections): boolean => {
    const oldest = entry.idle.shift();
    if (oldest === undefined) {
        return false;
    }
    if (oldest.phase === "closed") {
        return closeOldestIdle(connections, entry);
    }
    closeConnection(connections, oldest, "replaced");
    return true;
};

const open = (connections: Connections, entry: AddressConnections, address: string, now: number): PooledConnection => {
    const connection = openConnection(openOptions(connections, address, now));
    entry.open.add(connection);
    connections.byAddress.set(address, entry);
    return connection;
};

const openOptions = (connections: Connections, address: string, now: number): OpenConnectionOptions => {
    connections.opened += 1;
    return {
        id: connections.opened,
        address,
        now,
        connectTimeoutMs: connections.settings.connectTimeoutMs,
        keepAliveInitialDelayMs: connections.settings.keepAliveInitialDelayMs,
        idleMs: connections.settings.idleMs,
        maxHeadBytes: connections.settings.maxHeadBytes,
        onClose: closed => onSocketClose(connections, closed),
    };
};

// A busy connection is closed by its exchange, which also has the reason.
const onSocketClose = (connections: Connections, connection: Connection): void => {
    if (connection.phase === "idle" || connection.phase === "settling") {
        closeConnection(connections, connection, idleCloseReason(connection));
    }
};

const idleCloseReason = (connection: Connection): CloseReason => {
    if (connection.socket?.bytesRead !== connection.bytesReadWhenIdle) {
        return "unsolicited-bytes";
    }
    if (connection.closedByEndpoint) {
        return "closed-by-endpoint";
    }
    return connection.phase === "settling" ? "not-kept-alive" : "idle-limit";
};

const settle = (connections: Connections): void => {
    const settled = connections.settling;
    connections.settling = [];
    const now = performance.now();
    settled.forEach(connection => {
        if (connection.phase !== "settling") {
            return;
        }
        if (connections.stopping) {
            closeConnection(connections, connection, "pool-closed");
        } else if (isReusable(connections, connection, now)) {
            connection.phase = "idle";
            connections.byAddress.get(connection.address)?.idle.push(connection);
        }
    });
};

const sweep = (connections: Connections): void => {
    const now = performance.now();
    [...connections.byAddress.values()].forEach(entry => {
        const kept = entry.idle.filter(
            connection => connection.phase === "idle" && isReusable(connections, connection, now),
        );
        entry.idle.splice(0, entry.idle.length, ...kept);
    });
};
