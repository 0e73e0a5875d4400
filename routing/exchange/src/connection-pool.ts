import {
    type CloseReason,
    closeReasons,
    type Connection,
    openConnection,
    type OpenConnectionOptions,
    openUnpooledConnection,
    type PooledConnection,
} from "./connection.js";
import type { EchoBehaviours } from "./endpoint-echo.js";

export interface ConnectionPoolOptions {
    /** Idle time after which a connection is closed. */
    readonly idleMs?: number;
    /** Age after which a connection is closed once it is idle. */
    readonly maxAgeMs?: number;
    /** Maximum idle time of a connection that is reused for a request with `fresh`. */
    readonly nonIdempotentIdleMs?: number;
    readonly connectTimeoutMs?: number;
    /** Idle time after which TCP sends the first keep-alive probe. */
    readonly keepAliveInitialDelayMs?: number;
    /** Maximum size of a response head. */
    readonly maxHeadBytes?: number;
}

// Endpoints commonly close idle connections after 5 s; a shorter limit avoids most races between that and a reuse.
const DEFAULT_IDLE_MS = 4_000;
// Limits how long a network path that degrades without an error stays in use.
const DEFAULT_MAX_AGE_MS = 5 * 60_000;
const DEFAULT_NON_IDEMPOTENT_IDLE_MS = 1_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_KEEP_ALIVE_INITIAL_DELAY_MS = 5_000;
const DEFAULT_MAX_HEAD_BYTES = 64 * 1024;
const SWEEP_INTERVAL_MS = 1_000;

interface AddressConnections {
    readonly open: Set<Connection>;
    /** Idle connections, the most recently used last. */
    readonly idle: PooledConnection[];
}

/** Pool of the connections from one entry process to endpoint VMs. */
export interface ConnectionPool {
    readonly settings: Required<ConnectionPoolOptions>;
    readonly byAddress: Map<string, AddressConnections>;
    readonly echoes: EchoBehaviours;
    readonly closed: Record<CloseReason, number>;
    opened: number;
    reused: number;
    probes: number;
    /** Connections that become idle at the end of this event loop turn if no more bytes arrive. */
    settling: PooledConnection[];
    stopping: boolean;
    /** Called when the last connection of the pool has closed; set while the pool is closing. */
    onDrained: (() => void) | undefined;
    readonly sweepTimer: NodeJS.Timeout;
}

/** Creates an empty connection pool. */
export const createConnectionPool = (options: ConnectionPoolOptions = {}): ConnectionPool => {
    const connections: ConnectionPool = {
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
        sweepTimer: setInterval(() => sweep(connections), SWEEP_INTERVAL_MS).unref(),
    };
    return connections;
};

export interface AcquireOptions {
    readonly address: string;
    /** Requires a connection that is new or was last used within `nonIdempotentIdleMs`. */
    readonly fresh: boolean;
    /** Requires a connection that has not carried a request yet. */
    readonly unused?: boolean;
    /** Maximum number of connections of this process to the address. */
    readonly limit: number;
}

/** Address and connection limit for a connection that is not reused. */
export type UnpooledConnectionOptions = Omit<AcquireOptions, "fresh" | "unused">;

/** Acquires a connection for one exchange; undefined if the limit is reached or the pool is closing. */
export const acquireConnection = (
    connections: ConnectionPool,
    options: AcquireOptions,
): PooledConnection | undefined => {
    if (connections.stopping) {
        return undefined;
    }
    const now = performance.now();
    const forAddress = connections.byAddress.get(options.address) ?? { open: new Set(), idle: [] };
    const idleLimit = options.fresh ? connections.settings.nonIdempotentIdleMs : connections.settings.idleMs;
    const reusable = options.unused === true ? undefined : takeReusable(connections, forAddress, now, idleLimit);
    if (reusable !== undefined) {
        connections.reused += 1;
        return reusable;
    }
    if (forAddress.open.size >= options.limit && !closeOldestIdle(connections, forAddress)) {
        return undefined;
    }
    return open(connections, forAddress, options.address, now);
};

/** Opens a connection that serves a single exchange; undefined if the limit is reached or the pool is closing. */
export const acquireUnpooledConnection = (
    connections: ConnectionPool,
    { address, limit }: UnpooledConnectionOptions,
): Connection | undefined => {
    const forAddress = connections.byAddress.get(address) ?? { open: new Set(), idle: [] };
    if (connections.stopping || (forAddress.open.size >= limit && !closeOldestIdle(connections, forAddress))) {
        return undefined;
    }
    const connection = openUnpooledConnection(openOptions(connections, address, performance.now()));
    forAddress.open.add(connection);
    connections.byAddress.set(address, forAddress);
    return connection;
};

/** Releases a connection after a complete exchange; it becomes idle if no more bytes arrive in this event loop turn. */
export const releaseConnection = (connections: ConnectionPool, connection: PooledConnection): void => {
    if (connection.phase === "closed") {
        return;
    }
    connection.phase = "settling";
    connection.bytesReadWhenIdle = connection.socket?.bytesRead ?? 0;
    connection.idleSince = performance.now();
    connections.settling.push(connection);
    if (connections.settling.length === 1) {
        // Bytes that follow the response in the same segment must not be taken for the response to the next request.
        setImmediate(settle, connections);
    }
};

/** True if a connection to the address may become idle later in this event loop turn. */
export const isSettling = (connections: ConnectionPool, address: string): boolean =>
    !connections.stopping && connections.settling.some(connection => connection.address === address);

/** Closes a connection immediately and counts the reason. */
export const closeConnection = (connections: ConnectionPool, connection: Connection, reason: CloseReason): void => {
    if (connection.phase === "closed") {
        return;
    }
    connection.phase = "closed";
    connections.closed[reason] += 1;
    const forAddress = connections.byAddress.get(connection.address);
    forAddress?.open.delete(connection);
    connection.close();
    if (forAddress?.open.size === 0) {
        connections.byAddress.delete(connection.address);
    }
    if (connections.byAddress.size === 0) {
        connections.onDrained?.();
    }
};

/** Rejects new exchanges, closes idle connections and resolves once the exchanges in flight have ended. */
export const closeConnectionPool = async (connections: ConnectionPool): Promise<void> => {
    connections.stopping = true;
    clearInterval(connections.sweepTimer);
    allConnections(connections)
        .filter(connection => connection.phase === "idle")
        .forEach(connection => closeConnection(connections, connection, "pool-closed"));
    if (connections.byAddress.size > 0) {
        await new Promise<void>(resolve => {
            connections.onDrained = resolve;
        });
    }
};

/** Connections to one address in the state dump. */
interface ConnectionPoolDumpRow {
    readonly address: string;
    readonly busy: number;
    readonly idle: number;
    /** Age of the oldest connection in milliseconds. */
    readonly oldestMs: number;
}

/** Connection pool in the state dump. */
export interface ConnectionPoolDump {
    readonly opened: number;
    readonly reused: number;
    readonly probes: number;
    readonly closed: Readonly<Record<CloseReason, number>>;
    readonly addresses: readonly ConnectionPoolDumpRow[];
}

/** Returns the counters of the pool and its connections by address for the state dump. */
export const dumpConnectionPool = (connections: ConnectionPool): ConnectionPoolDump => ({
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

const allConnections = (connections: ConnectionPool): Connection[] =>
    [...connections.byAddress.values()].flatMap(forAddress => [...forAddress.open]);

const takeReusable = (
    connections: ConnectionPool,
    forAddress: AddressConnections,
    now: number,
    idleLimitMs: number,
): PooledConnection | undefined => {
    const connection = forAddress.idle.at(-1);
    if (connection === undefined || now - connection.idleSince > idleLimitMs) {
        return undefined;
    }
    forAddress.idle.pop();
    if (connection.phase === "idle" && isReusable(connections, connection, now)) {
        connection.phase = "busy";
        return connection;
    }
    return takeReusable(connections, forAddress, now, idleLimitMs);
};

const isReusable = (connections: ConnectionPool, connection: Connection, now: number): boolean => {
    const reason = closeReasonIfStale(connections, connection, now);
    if (reason !== undefined) {
        closeConnection(connections, connection, reason);
    }
    return reason === undefined;
};

const closeReasonIfStale = (
    connections: ConnectionPool,
    connection: Connection,
    now: number,
): CloseReason | undefined => {
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

const closeOldestIdle = (connections: ConnectionPool, forAddress: AddressConnections): boolean => {
    const oldest = forAddress.idle.shift();
    if (oldest === undefined) {
        return false;
    }
    if (oldest.phase === "closed") {
        return closeOldestIdle(connections, forAddress);
    }
    closeConnection(connections, oldest, "replaced");
    return true;
};

const open = (
    connections: ConnectionPool,
    forAddress: AddressConnections,
    address: string,
    now: number,
): PooledConnection => {
    const connection = openConnection(openOptions(connections, address, now));
    forAddress.open.add(connection);
    connections.byAddress.set(address, forAddress);
    return connection;
};

const openOptions = (connections: ConnectionPool, address: string, now: number): OpenConnectionOptions => {
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

// A busy connection is closed by its exchange, which also determines the reason.
const onSocketClose = (connections: ConnectionPool, connection: Connection): void => {
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

const settle = (connections: ConnectionPool): void => {
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

const sweep = (connections: ConnectionPool): void => {
    const now = performance.now();
    [...connections.byAddress.values()].forEach(forAddress => {
        const kept = forAddress.idle.filter(
            connection => connection.phase === "idle" && isReusable(connections, connection, now),
        );
        forAddress.idle.splice(0, forAddress.idle.length, ...kept);
    });
};
