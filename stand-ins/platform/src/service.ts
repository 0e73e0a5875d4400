import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { type Fault, isSelected, noFault } from "./fault.js";

/** An HTTP request with its complete body. */
export interface ServiceRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

export interface ServiceReply {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

export interface ServiceOptions {
    readonly listen: ListenAddress;
    /** Name under which a request is counted. */
    readonly operationOf: (request: ServiceRequest) => string;
    readonly isWrite: (request: ServiceRequest) => boolean;
    readonly answer: (request: ServiceRequest, fault: Fault) => ServiceReply | Promise<ServiceReply>;
    /** Answer to writes that the fault `refuseBusy` selects. */
    readonly busyReply: ServiceReply;
}

/** Number of requests of one operation since the start. */
export interface OperationCount {
    readonly operation: string;
    readonly requests: number;
}

/** One service of the stand-in with its own listener and faults. */
export interface Service {
    readonly url: string;
    setFault: (fault: Fault) => Promise<void>;
    counts: () => readonly OperationCount[];
    close: () => Promise<void>;
}

interface ServiceState {
    readonly options: ServiceOptions;
    readonly server: Server;
    readonly requests: Map<string, number>;
    readonly connections: Set<Socket>;
    /** Connections on which requests are no longer answered. */
    frozen: ReadonlySet<Socket>;
    fault: Fault;
    /** Number of writes since the fault was set. */
    writes: number;
}

const readBody = async (message: IncomingMessage): Promise<string> => {
    const chunks = await message.toArray();
    return Buffer.concat(chunks as readonly Buffer[]).toString("utf8");
};

const send = (response: ServerResponse, reply: ServiceReply): void => {
    const body = reply.body ?? "";
    response.writeHead(reply.status, { ...reply.headers, "content-length": Buffer.byteLength(body) });
    response.end(body);
};

const nextWritePosition = (state: ServiceState): number => {
    const position = state.writes;
    state.writes += 1;
    return position;
};

const handleRequest = async (
    state: ServiceState,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const body = await readBody(message);
    const request = { method: message.method ?? "", path: message.url ?? "", headers: message.headers, body };
    const operation = state.options.operationOf(request);
    state.requests.set(operation, (state.requests.get(operation) ?? 0) + 1);
    const { fault } = state;
    if (fault.down !== "no" || state.frozen.has(message.socket)) {
        return;
    }
    const isWrite = state.options.isWrite(request);
    const position = isWrite ? nextWritePosition(state) : undefined;
    const isAffected = (selection: Fault["loseAnswers"]) => position !== undefined && isSelected(selection, position);
    if (isAffected(fault.loseRequests)) {
        message.socket.destroy();
        return;
    }
    if (isAffected(fault.refuseBusy)) {
        send(response, state.options.busyReply);
        return;
    }
    const delayMs = fault.delayMs + (isWrite ? fault.delayWritesMs : 0);
    if (delayMs > 0) {
        await sleep(delayMs);
    }
    const reply = await state.options.answer(request, fault);
    if (isAffected(fault.loseAnswers)) {
        message.socket.destroy();
        return;
    }
    send(response, reply);
};

const listenOn = (server: Server, listen: ListenAddress): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: listen.ip, port: listen.port }, () => {
            server.off("error", reject);
            resolve();
        });
    });

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

/** Starts a listener that answers complete requests, subject to the current fault. */
export const startService = async (options: ServiceOptions): Promise<Service> => {
    const server = createServer((message, response) => {
        handleRequest(state, message, response).catch(() => message.socket.destroy());
    });
    const state: ServiceState = {
        options,
        server,
        requests: new Map(),
        connections: new Set(),
        frozen: new Set(),
        fault: noFault,
        writes: 0,
    };
    server.on("connection", socket => {
        state.connections.add(socket);
        socket.once("close", () => state.connections.delete(socket));
    });
    await listenOn(server, options.listen);
    const { address, port, family } = server.address() as AddressInfo;
    const setFault = async (fault: Fault): Promise<void> => {
        const previous = state.fault;
        state.fault = fault;
        state.writes = 0;
        state.frozen = new Set(fault.freezeConnections ? state.connections : []);
        if (fault.down === "refuse" && server.listening) {
            await closeServer(server);
        }
        if (fault.down !== "refuse" && !server.listening) {
            await listenOn(server, { ip: address, port });
        }
        if (previous.down === "hang" && fault.down !== "hang") {
            server.closeAllConnections();
        }
    };
    return {
        url: `http://${family === "IPv6" ? `[${address}]` : address}:${port}`,
        setFault,
        counts: () => [...state.requests].map(([operation, requests]) => ({ operation, requests })),
        close: () => closeServer(server),
    };
};
