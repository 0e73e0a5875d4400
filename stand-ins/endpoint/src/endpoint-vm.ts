import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { VmId } from "@almondusher/fleet/ids";
import { type Answer, sendAnswer } from "./answer.js";
import { type FaultInput, type Faults, faultSchema } from "./fault-schema.js";
import { countRun, type RunCounts } from "./run-counts.js";
import type { StandInSettings } from "./stand-in-settings.js";

interface EndpointVmCounts {
    readonly vm: VmId;
    readonly address: string;
    readonly connections: number;
    readonly slotsInUse: number;
    readonly mostSlotsInUse: number;
    readonly mostConnections: number;
    readonly runs: number;
    readonly refused: number;
    readonly droppedConnections: number;
}

/** One simulated endpoint VM. */
export interface EndpointVm {
    readonly vm: VmId;
    /** IP address and port. */
    readonly address: string;
    counts: () => EndpointVmCounts;
    /** Replaces all faults. Absent keys mean no fault. */
    setFaults: (faults: FaultInput) => Promise<void>;
    /** Stops reading and writing on the existing connections permanently. New connections work. */
    silenceExisting: () => void;
    close: () => Promise<void>;
}

export interface EndpointVmOptions {
    readonly vm: VmId;
    readonly port: number;
    readonly settings: StandInSettings;
    readonly runCounts: RunCounts;
}

/** First answer of a pair under the fault `crossAnswers`. It is held until the second one is ready. */
interface HeldAnswer {
    readonly response: ServerResponse;
    readonly answer: Answer;
}

interface VmState {
    readonly options: EndpointVmOptions;
    readonly server: Server;
    readonly sockets: Set<Socket>;
    readonly silencedSockets: WeakSet<Socket>;
    faults: Faults;
    /** Handlers of the requests that arrived while the fault `freeze` was set. */
    frozenRequests: (() => void)[];
    heldAnswer: HeldAnswer | undefined;
    slotsInUse: number;
    mostSlotsInUse: number;
    mostConnections: number;
    runs: number;
    refused: number;
    droppedConnections: number;
}

const SERVICE_UNAVAILABLE = 503;
const SERVER_ERROR = 500;
const OK = 200;

/** Starts one VM. Rejects if the port is in use. */
export const startEndpointVm = async (options: EndpointVmOptions): Promise<EndpointVm> => {
    const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 });
    const state: VmState = {
        options,
        server,
        sockets: new Set(),
        silencedSockets: new WeakSet(),
        faults: faultSchema.parse({}),
        frozenRequests: [],
        heldAnswer: undefined,
        slotsInUse: 0,
        mostSlotsInUse: 0,
        mostConnections: 0,
        runs: 0,
        refused: 0,
        droppedConnections: 0,
    };
    server.maxConnections = options.settings.connections;
    server.on("connection", socket => trackSocket(state, socket));
    server.on("drop", () => {
        state.droppedConnections += 1;
    });
    server.on("request", (request: IncomingMessage, response: ServerResponse) =>
        handleRequest(state, request, response),
    );
    await listen(server, options.settings.ip, options.port);
    const { port } = server.address() as AddressInfo;
    const address = options.settings.ip.includes(":")
        ? `[${options.settings.ip}]:${port}`
        : `${options.settings.ip}:${port}`;
    return {
        vm: options.vm,
        address,
        counts: () => countsOf(state, address),
        setFaults: faults => setFaults(state, faultSchema.parse(faults), port),
        silenceExisting: () => silenceExisting(state),
        close: () => closeServer(state),
    };
};

const listen = (server: Server, host: string, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });

const closeServer = (state: VmState): Promise<void> =>
    new Promise(resolve => {
        state.server.close(() => resolve());
        state.sockets.forEach(socket => socket.destroy());
    });

const trackSocket = (state: VmState, socket: Socket): void => {
    state.sockets.add(socket);
    state.mostConnections = Math.max(state.mostConnections, state.sockets.size);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => state.sockets.delete(socket));
};

const silenceExisting = (state: VmState): void => {
    state.sockets.forEach(socket => {
        state.silencedSockets.add(socket);
        socket.pause();
    });
};

const setFaults = async (state: VmState, faults: Faults, port: number): Promise<void> => {
    const wasDown = state.faults.down;
    state.faults = faults;
    if (!faults.freeze) {
        const pending = state.frozenRequests;
        state.frozenRequests = [];
        pending.forEach(resume => resume());
    }
    if (faults.down && !wasDown) {
        await closeServer(state);
    } else if (!faults.down && wasDown) {
        await listen(state.server, state.options.settings.ip, port);
    }
};

const countsOf = (state: VmState, address: string): EndpointVmCounts => ({
    vm: state.options.vm,
    address,
    connections: state.sockets.size,
    slotsInUse: state.slotsInUse,
    mostSlotsInUse: state.mostSlotsInUse,
    mostConnections: state.mostConnections,
    runs: state.runs,
    refused: state.refused,
    droppedConnections: state.droppedConnections,
});

const handleRequest = (state: VmState, request: IncomingMessage, response: ServerResponse): void => {
    if (state.faults.freeze) {
        state.frozenRequests.push(() => handleRequest(state, request, response));
        return;
    }
    if (isSilenced(state, response) || request.socket.destroyed) {
        return;
    }
    if (request.url === "*") {
        response.writeHead(OK, { allow: "*", "content-length": 0 }).end();
        return;
    }
    if (state.faults.refuse || state.slotsInUse >= state.options.settings.slots) {
        rejectRequest(state, request, response);
        return;
    }
    runRequest(state, request, response);
};

const isSilenced = (state: VmState, response: ServerResponse): boolean =>
    response.socket !== undefined && state.silencedSockets.has(response.socket as Socket);

const rejectRequest = (state: VmState, request: IncomingMessage, response: ServerResponse): void => {
    state.refused += 1;
    request.resume();
    response.writeHead(SERVICE_UNAVAILABLE, { "almondusher-verdict": "not-run", "content-length": 0 }).end();
};

const textHeader = (request: IncomingMessage, name: string): string => {
    const value = request.headers[name];
    return typeof value === "string" ? value : "";
};

const numberHeader = (request: IncomingMessage, name: string, fallback: number): number => {
    const value = Number(request.headers[name] ?? fallback);
    return Number.isFinite(value) && value >= 0 ? value : fallback;
};

const runRequest = (state: VmState, request: IncomingMessage, response: ServerResponse): void => {
    const { settings } = state.options;
    const requestId = textHeader(request, "almondusher-request-id");
    const release = acquireSlot(state);
    recordRun(state, request, requestId);
    const stopProgress = sendProgress(state, response);
    let receivedBytes = 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
        stopProgress();
        release();
        if (!isSilenced(state, response) && !response.destroyed) {
            sendOrCrossAnswer(state, response, {
                statusCode: state.faults.failFast ? SERVER_ERROR : numberHeader(request, "x-answer-status", OK),
                requestId,
                vm: state.options.vm,
                echoRequestId: settings.echoRequestId,
                bytes: numberHeader(request, "x-answer-bytes", 0),
                receivedBytes,
            });
        }
    };
    response.once("close", () => {
        if (settings.stopWhenClosed || timer === undefined) {
            clearTimeout(timer);
            stopProgress();
            release();
        }
    });
    request.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
    });
    request.once("end", () => {
        const workMs = state.faults.failFast ? 0 : numberHeader(request, "x-work-ms", settings.workMs);
        const delayMs = workMs + state.faults.answerDelayMs;
        if (delayMs === 0) {
            finish();
        } else {
            timer = setTimeout(finish, delayMs);
        }
    });
};

const acquireSlot = (state: VmState): (() => void) => {
    let isHeld = true;
    state.slotsInUse += 1;
    state.mostSlotsInUse = Math.max(state.mostSlotsInUse, state.slotsInUse);
    return () => {
        if (isHeld) {
            isHeld = false;
            state.slotsInUse -= 1;
        }
    };
};

const recordRun = (state: VmState, request: IncomingMessage, requestId: string): void => {
    const { vm, runCounts, settings } = state.options;
    const key = textHeader(request, "idempotency-key");
    state.runs += 1;
    if (settings.countRequests && requestId !== "") {
        countRun(runCounts.byRequest, requestId, vm);
    }
    if (key !== "") {
        countRun(runCounts.byKey, key, vm);
    }
};

const sendProgress = (state: VmState, response: ServerResponse): (() => void) => {
    const { progressIntervalMs } = state.options.settings;
    if (progressIntervalMs === undefined) {
        return () => undefined;
    }
    const interval = setInterval(() => {
        if (!isSilenced(state, response) && !response.headersSent) {
            response.writeProcessing();
        }
    }, progressIntervalMs);
    return () => clearInterval(interval);
};

const sendOrCrossAnswer = (state: VmState, response: ServerResponse, answer: Answer): void => {
    if (!state.faults.crossAnswers) {
        sendAnswer(response, answer, state.faults);
        return;
    }
    const other = state.heldAnswer;
    if (other === undefined) {
        state.heldAnswer = { response, answer };
        return;
    }
    state.heldAnswer = undefined;
    sendAnswer(response, other.answer, state.faults);
    sendAnswer(other.response, answer, state.faults);
};
