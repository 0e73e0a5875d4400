import type { RequestId } from "@almondusher/fleet/ids";

/** A request that waits, ordered by `startBy` and then by `sequence`. */
export interface WaitingRequest {
    readonly id: RequestId;
    readonly arrivedAt: number;
    /** Latest time at which a start is still useful, in milliseconds. */
    readonly startBy: number;
    /** Expected run time in milliseconds. */
    readonly runMs: number;
    /** True if the run time is short enough to borrow the share of another class. */
    readonly isShort: boolean;
    readonly sequence: number;
}

/** The requests of one team in one class; owned and changed by one admission table. */
export interface DeadlineQueue {
    root: Node | undefined;
}

/** Number and run time of the requests that stand before another one. */
export interface Backlog {
    readonly count: number;
    readonly runMs: number;
}

// A treap: a search tree by deadline that is also a heap by a scattered priority, which keeps it balanced.
interface Node {
    readonly request: WaitingRequest;
    readonly priority: number;
    left: Node | undefined;
    right: Node | undefined;
    count: number;
    runMs: number;
}

interface Halves {
    before: Node | undefined;
    after: Node | undefined;
}

/** A queue without requests. */
export const createDeadlineQueue = (): DeadlineQueue => ({ root: undefined });

/** Number of requests and their run time. */
export const backlogOf = (queue: DeadlineQueue): Backlog => ({
    count: queue.root?.count ?? 0,
    runMs: queue.root?.runMs ?? 0,
});

/** Adds a request; O(log n). */
export const pushRequest = (queue: DeadlineQueue, request: WaitingRequest): void => {
    const halves = split(queue.root, request);
    const node: Node = { request, priority: scatter(request.sequence), left: undefined, right: undefined, ...EMPTY };
    queue.root = merge(merge(halves.before, update(node)), halves.after);
};

/** The request with the earliest deadline; O(log n). */
export const firstRequest = (queue: DeadlineQueue): WaitingRequest | undefined => {
    let node = queue.root;
    while (node?.left !== undefined) {
        node = node.left;
    }
    return node?.request;
};

/** Removes a request; false if it is not in the queue; O(log n). */
export const removeRequest = (queue: DeadlineQueue, request: WaitingRequest): boolean => {
    const outer = split(queue.root, request);
    const inner = split(outer.after, { ...request, sequence: request.sequence + 1 });
    queue.root = merge(outer.before, inner.after);
    return inner.before !== undefined;
};

/** The requests that would start before one with the given deadline; O(log n). */
export const backlogBefore = (queue: DeadlineQueue, startBy: number): Backlog => {
    let node = queue.root;
    let count = 0;
    let runMs = 0;
    while (node !== undefined) {
        if (node.request.startBy <= startBy) {
            count += 1 + (node.left?.count ?? 0);
            runMs += node.request.runMs + (node.left?.runMs ?? 0);
            node = node.right;
        } else {
            node = node.left;
        }
    }
    return { count, runMs };
};

const EMPTY: Backlog = { count: 0, runMs: 0 };

// Multiplicative hashing: consecutive sequence numbers get scattered 32-bit priorities without a random source.
const SCATTER_FACTOR = 2_654_435_761;

const scatter = (sequence: number): number => {
    const product = Math.imul(sequence, SCATTER_FACTOR);
    return Math.imul(product ^ (product >>> 15), SCATTER_FACTOR) >>> 0;
};

const isBefore = (left: WaitingRequest, right: WaitingRequest): boolean =>
    left.startBy < right.startBy || (left.startBy === right.startBy && left.sequence < right.sequence);

const update = (node: Node): Node => {
    node.count = 1 + (node.left?.count ?? 0) + (node.right?.count ?? 0);
    node.runMs = node.request.runMs + (node.left?.runMs ?? 0) + (node.right?.runMs ?? 0);
    return node;
};

const split = (node: Node | undefined, pivot: WaitingRequest): Halves => {
    if (node === undefined) {
        return { before: undefined, after: undefined };
    }
    if (isBefore(node.request, pivot)) {
        const halves = split(node.right, pivot);
        node.right = halves.before;
        return { before: update(node), after: halves.after };
    }
    const halves = split(node.left, pivot);
    node.left = halves.after;
    return { before: halves.before, after: update(node) };
};

const merge = (left: Node | undefined, right: Node | undefined): Node | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    if (left.priority > right.priority) {
        left.right = merge(left.right, right);
        return update(left);
    }
    right.left = merge(left, right.left);
    return update(right);
};
