import type { RequestId } from "@almondusher/fleet/ids";

/** A queued request; items are ordered by `startBy` and then by `sequence`. */
export interface QueueItem {
    readonly id: RequestId;
    readonly arrivedAt: number;
    /** Latest useful start time in milliseconds. */
    readonly startBy: number;
    /** Expected run time in milliseconds. */
    readonly runMs: number;
    /** True if the request may borrow slots of other classes. */
    readonly isShort: boolean;
    readonly sequence: number;
}

/** Priority queue of requests by latest start time. */
export interface DeadlineQueue {
    root: Node | undefined;
}

/** Number and total expected run time of queued requests. */
export interface Backlog {
    readonly count: number;
    readonly runMs: number;
}

// Node of a treap: a binary search tree by latest start time and a heap by pseudo-random priority, which keeps it
// balanced.
interface Node {
    readonly request: QueueItem;
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

export const createDeadlineQueue = (): DeadlineQueue => ({ root: undefined });

/** Backlog of the whole queue; O(1). */
export const backlogOf = (queue: DeadlineQueue): Backlog => ({
    count: queue.root?.count ?? 0,
    runMs: queue.root?.runMs ?? 0,
});

/** Adds a request; O(log n). */
export const pushRequest = (queue: DeadlineQueue, request: QueueItem): void => {
    const halves = split(queue.root, request);
    const node: Node = {
        request,
        priority: hashSequence(request.sequence),
        left: undefined,
        right: undefined,
        ...EMPTY,
    };
    queue.root = merge(merge(halves.before, updateTotals(node)), halves.after);
};

/** The request that must start first; O(log n). */
export const firstRequest = (queue: DeadlineQueue): QueueItem | undefined => {
    let node = queue.root;
    while (node?.left !== undefined) {
        node = node.left;
    }
    return node?.request;
};

/** Removes a request; returns false if it is not in the queue; O(log n). */
export const removeRequest = (queue: DeadlineQueue, request: QueueItem): boolean => {
    const outer = split(queue.root, request);
    const inner = split(outer.after, { ...request, sequence: request.sequence + 1 });
    queue.root = merge(outer.before, inner.after);
    return inner.before !== undefined;
};

/** Backlog of the requests that would start before one with the given latest start time; O(log n). */
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

// Multiplicative hashing turns consecutive sequence numbers into well-distributed 32-bit priorities without a random
// source.
const HASH_MULTIPLIER = 2_654_435_761;

const hashSequence = (sequence: number): number => {
    const product = Math.imul(sequence, HASH_MULTIPLIER);
    return Math.imul(product ^ (product >>> 15), HASH_MULTIPLIER) >>> 0;
};

const isBefore = (left: QueueItem, right: QueueItem): boolean =>
    left.startBy < right.startBy || (left.startBy === right.startBy && left.sequence < right.sequence);

const updateTotals = (node: Node): Node => {
    node.count = 1 + (node.left?.count ?? 0) + (node.right?.count ?? 0);
    node.runMs = node.request.runMs + (node.left?.runMs ?? 0) + (node.right?.runMs ?? 0);
    return node;
};

const split = (node: Node | undefined, pivot: QueueItem): Halves => {
    if (node === undefined) {
        return { before: undefined, after: undefined };
    }
    if (isBefore(node.request, pivot)) {
        const halves = split(node.right, pivot);
        node.right = halves.before;
        return { before: updateTotals(node), after: halves.after };
    }
    const halves = split(node.left, pivot);
    node.left = halves.after;
    return { before: halves.before, after: updateTotals(node) };
};

const merge = (left: Node | undefined, right: Node | undefined): Node | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    if (left.priority > right.priority) {
        left.right = merge(left.right, right);
        return updateTotals(left);
    }
    right.left = merge(left, right.left);
    return updateTotals(right);
};
