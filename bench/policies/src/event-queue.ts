/** Priority queue of simulation events by time; events with equal times run in insertion order. */
export interface EventQueue {
    now: number;
    sequence: number;
    readonly heap: Event[];
}

interface Event {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

/** Creates an empty queue at time 0. */
export const createEventQueue = (): EventQueue => ({ now: 0, sequence: 0, heap: [] });

/** Runs an action after a delay in milliseconds of simulated time. */
export const schedule = (queue: EventQueue, delayMs: number, run: () => void): void => {
    const event = { at: queue.now + delayMs, sequence: queue.sequence, run };
    queue.sequence += 1;
    let index = queue.heap.length;
    queue.heap.push(event);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        const above = queue.heap[parent];
        if (above === undefined || !isEarlier(event, above)) {
            break;
        }
        queue.heap[index] = above;
        index = parent;
    }
    queue.heap[index] = event;
};

/** Runs events until none is left or `isDone` returns true. */
export const runEvents = (queue: EventQueue, isDone: () => boolean): void => {
    let event = popFirst(queue.heap);
    while (event !== undefined && !isDone()) {
        queue.now = event.at;
        event.run();
        event = popFirst(queue.heap);
    }
};

const isEarlier = (left: Event, right: Event): boolean =>
    left.at < right.at || (left.at === right.at && left.sequence < right.sequence);

const popFirst = (heap: Event[]): Event | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) {
        siftDown(heap, last);
    }
    return first;
};

const siftDown = (heap: Event[], event: Event): void => {
    let index = 0;
    let child = smallerChild(heap, index);
    while (child !== undefined && isEarlier(child.event, event)) {
        heap[index] = child.event;
        index = child.index;
        child = smallerChild(heap, index);
    }
    heap[index] = event;
};

const smallerChild = (heap: readonly Event[], index: number): { event: Event; index: number } | undefined => {
    const left = heap[2 * index + 1];
    const right = heap[2 * index + 2];
    if (left === undefined) {
        return undefined;
    }
    return right !== undefined && isEarlier(right, left)
        ? { event: right, index: 2 * index + 2 }
        : { event: left, index: 2 * index + 1 };
};
