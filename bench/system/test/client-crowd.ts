// A crowd of clients outside the limits, run as a process of its own so that it delays no stand-in:
// node client-crowd.ts KIND HOST:PORT HOST_HEADER PATH. Prints "settled" once it has sent all, then keeps open what it
// holds until it is ended. It never reads a response.
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

interface Crowd {
    readonly connections: number;
    /** Time in which the connections send; what cannot be sent by then is left out. */
    readonly sendMs: number;
    readonly join: (socket: Socket, index: number) => void;
}

const [kind = "", address = "", host = "", path = ""] = process.argv.slice(2);
const [ip = "", port = "0"] = address.split(":");

const AHEAD_REQUESTS = 40_000;
const LARGE_CHUNK_BYTES = 60_000;
const LARGE_CHUNKS = 4;
const SMALL_CHUNKS = 20_000;
const EARLY_LEAVERS_EVERY = 3;
const EARLY_LEAVE_MS = 500;
const CONNECT_BATCH = 50;

const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

const chunkedHead = `POST ${path} HTTP/1.1\r\nhost: ${host}\r\ntransfer-encoding: chunked\r\n\r\n`;

const bareRequest = (index: number): string =>
    index % 2 === 0
        ? `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n\r\n`
        : `GET ${path} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n`;

const crowds: Readonly<Record<string, Crowd>> = {
    "requests-ahead": {
        connections: 60,
        sendMs: 4000,
        join: (socket, index) => void socket.write(bareRequest(index).repeat(AHEAD_REQUESTS)),
    },
    "many-connections": {
        connections: 1600,
        sendMs: 2000,
        join: (socket, index) => {
            socket.write(index % 2 === 0 ? chunkedHead : "");
            if (index % EARLY_LEAVERS_EVERY === 0) {
                setTimeout(() => socket.resetAndDestroy(), EARLY_LEAVE_MS);
            }
        },
    },
    "large-chunks": {
        connections: 700,
        sendMs: 4000,
        join: socket => void socket.write(chunkedHead + chunk(LARGE_CHUNK_BYTES).repeat(LARGE_CHUNKS)),
    },
    "small-chunks": {
        connections: 150,
        sendMs: 8000,
        join: socket => void socket.write(chunkedHead + chunk(1).repeat(SMALL_CHUNKS)),
    },
};

const crowd = crowds[kind];
if (crowd === undefined) {
    throw new Error(`no such crowd: ${kind}`);
}
for (const index of Array.from({ length: crowd.connections }, (unused, number) => number)) {
    const socket = connect({ host: ip, port: Number(port) }, () => crowd.join(socket, index));
    socket.on("error", () => undefined);
    socket.pause();
    if (index % CONNECT_BATCH === 0) {
        await sleep(10);
    }
}
await sleep(crowd.sendMs);
process.stdout.write("settled\n");
// The parent ends this process; it does not outlive its parent by more than a minute.
setTimeout(() => process.exit(0), 60_000);
