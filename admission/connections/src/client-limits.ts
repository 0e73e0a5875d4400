import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";

/** Bounds on the connections of clients to one server. */
export interface ClientLimits {
    /** Open connections. */
    readonly connections: number;
    /** Bytes held for requests that have not been answered, over all connections. */
    readonly heldBytes: number;
    /** Requests of one connection that are in work at the same time; further ones wait. */
    readonly requestsInWork: number;
    /** Time from the first byte of a request's head to its last one. */
    readonly headTimeoutMs: number;
    /** Time without a further byte of an unfinished body, or without a byte of an answer being taken. */
    readonly stallTimeoutMs: number;
}

/** What a process may use. */
export interface ProcessResources {
    readonly memoryBytes: number;
    readonly heapBytes: number;
    readonly descriptors: number;
}

// The other half of the memory and a quarter of the descriptors are left for the store, peers, executors and the
// process itself: a quarter is for connections, an eighth for what they hold, and as much again is for strings and
// garbage made from it.
const CONNECTIONS_MEMORY_SHARE = 1 / 4;
const HELD_MEMORY_SHARE = 1 / 8;
const DESCRIPTOR_SHARE = 3 / 4;
// A socket, its parser, and one request and response with their headers.
const CONNECTION_BYTES = 16_384;
// Few, so that clients that send ahead do not fill the store and the executors for those that wait for their answers.
const REQUESTS_IN_WORK = 2;
const TIMEOUT_MS = 30_000;

/** Derives the limits from the resources; given ones take precedence. */
export const deriveClientLimits = (
    { memoryBytes, heapBytes, descriptors }: ProcessResources,
    given: { readonly [Key in keyof ClientLimits]?: number | undefined } = {},
): ClientLimits => {
    const memory = Math.min(memoryBytes, heapBytes);
    return {
        connections:
            given.connections ??
            Math.max(
                1,
                Math.floor(
                    Math.min(descriptors * DESCRIPTOR_SHARE, (memory * CONNECTIONS_MEMORY_SHARE) / CONNECTION_BYTES),
                ),
            ),
        heldBytes: given.heldBytes ?? Math.floor(memory * HELD_MEMORY_SHARE),
        requestsInWork: given.requestsInWork ?? REQUESTS_IN_WORK,
        headTimeoutMs: given.headTimeoutMs ?? TIMEOUT_MS,
        stallTimeoutMs: given.stallTimeoutMs ?? TIMEOUT_MS,
    };
};

/** Reads what this process may use; a given value lowers what the operating system allows. */
export const readProcessResources = (
    given: { readonly memoryBytes?: number | undefined; readonly descriptors?: number | undefined } = {},
): ProcessResources => ({
    memoryBytes: Math.min(given.memoryBytes ?? Infinity, totalmem()),
    heapBytes: getHeapStatistics().heap_size_limit,
    descriptors: Math.min(given.descriptors ?? Infinity, readDescriptorLimit()),
});

const DEFAULT_DESCRIPTORS = 1024;

const readDescriptorLimit = (): number => {
    try {
        const found = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return found === undefined ? DEFAULT_DESCRIPTORS : Number(found);
    } catch {
        return DEFAULT_DESCRIPTORS;
    }
};
