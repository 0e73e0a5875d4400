import type { ExecutorId } from "@almondusher/jobs/ids";
import type { OrderResult } from "@almondusher/platform-adapter/executor-client";
import type { OrderBudget } from "@almondusher/scheduler/order-budget";

/**
 * Limits the orders that a pool's scheduler has outstanding, by additive increase and multiplicative decrease. Congestion
 * delays the responses of most executors, a failed executor only its own, so the window shrinks if more were late than not.
 */
export interface OrderWindow {
    /** Sends an order and counts it as outstanding until it ends. */
    readonly track: (executor: ExecutorId, send: () => Promise<OrderResult>) => Promise<OrderResult>;
    /** Budget for the orders that are planned and sent next. */
    readonly createBudget: () => OrderBudget;
    /** Number of orders that may be outstanding. */
    readonly size: () => number;
    /** Removes what was measured of an executor. */
    readonly forget: (executor: ExecutorId) => void;
}

export interface OrderWindowOptions {
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
    /** Time after which an order without a response ends as unknown, in milliseconds. */
    readonly timeoutMs: number;
    /** Upper bound of the window, for example the number of connections. */
    readonly maxSize: () => number;
}

/** What was measured of one executor. */
interface ExecutorPath {
    outstanding: number;
    /** The last order received no response. */
    silent: boolean;
    /** Response time without queueing, in milliseconds; undefined before the first response. */
    idleResponseMs: number | undefined;
    last: Outcome | undefined;
}

interface Outcome {
    /** Time for which the order waited on the path, in milliseconds; infinite without a response. */
    readonly delayMs: number;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
}

const MIN_SIZE = 8;
const INITIAL_SIZE = 32;
const DECREASE_FACTOR = 0.5;
// The delay of a single executor is no evidence of congestion.
const MIN_DELAYED_EXECUTORS = 2;
// Delays as fractions of the time limit of an order: the window grows below the first and may shrink above the second.
const PROMPT_FRACTION = 0.1;
const LATE_FRACTION = 0.33;
// Share of the window for executors that left their last order unanswered. The rest stays available for the others.
const SILENT_SHARE = 0.25;
// Weight of a longer response time in the estimate of the response time without queueing.
const IDLE_RESPONSE_WEIGHT = 0.005;

/** Creates the window of one pool's scheduler. */
export const createOrderWindow = ({ monotonicMs, timeoutMs, maxSize }: OrderWindowOptions): OrderWindow => {
    const promptMs = timeoutMs * PROMPT_FRACTION;
    const lateMs = timeoutMs * LATE_FRACTION;
    const paths = new Map<ExecutorId, ExecutorPath>();
    let size = INITIAL_SIZE;
    // Up to this size the window grows by one with each prompt response, above it by one with each full window of them.
    let slowStartThreshold = Number.POSITIVE_INFINITY;
    let decreasedAtMs = Number.NEGATIVE_INFINITY;
    let grownSinceDecrease = true;
    let outstanding = 0;

    const pathOf = (executor: ExecutorId): ExecutorPath => {
        const path = paths.get(executor) ?? createPath();
        paths.set(executor, path);
        return path;
    };
    const lowestIdleResponseMs = (): number =>
        [...paths.values()].reduce((lowest, path) => Math.min(lowest, path.idleResponseMs ?? lowest), Infinity);
    const recordResponse = (path: ExecutorPath, sentAtMs: number): void => {
        const endedAtMs = monotonicMs();
        const tookMs = endedAtMs - sentAtMs;
        // The first response of an executor may have been delayed itself.
        const idleMs = path.idleResponseMs ?? Math.min(tookMs, lowestIdleResponseMs());
        const delayMs = tookMs - idleMs;
        path.silent = false;
        path.idleResponseMs = nextIdleResponse(idleMs, tookMs);
        path.last = { delayMs, sentAtMs, endedAtMs };
        if (delayMs <= promptMs) {
            grow();
        }
    };
    const recordNoResponse = (path: ExecutorPath, sentAtMs: number): void => {
        path.silent = true;
        path.last = { delayMs: Infinity, sentAtMs, endedAtMs: monotonicMs() };
    };
    const recordEnd = (path: ExecutorPath, { kind }: OrderResult, sentAtMs: number): void => {
        switch (kind) {
            case "unknown":
                recordNoResponse(path, sentAtMs);
                return;
            case "not-sent":
                path.silent = true;
                // A refused connection says nothing about the load of the path, one that takes too long does.
                if (monotonicMs() - sentAtMs >= timeoutMs) {
                    recordNoResponse(path, sentAtMs);
                }
                return;
            case "accepted":
            case "rejected":
            case "other-incarnation":
                recordResponse(path, sentAtMs);
                return;
        }
    };
    const grow = (): void => {
        // A window that is not in use must not grow, as nothing shows that the path could carry more.
        if (outstanding * 2 >= size) {
            grownSinceDecrease = true;
            size = Math.min(Math.max(MIN_SIZE, maxSize()), size + (size < slowStartThreshold ? 1 : 1 / size));
        }
    };
    const adaptToCongestion = (): void => {
        const nowMs = monotonicMs();
        // Orders that were sent before the last decrease say nothing about its effect.
        const recent = [...paths.values()]
            .map(({ last }) => last)
            .filter(last => last !== undefined)
            .filter(({ endedAtMs, sentAtMs }) => endedAtMs >= nowMs - timeoutMs && sentAtMs >= decreasedAtMs);
        if (grownSinceDecrease && areMostDelayed(recent, promptMs)) {
            slowStartThreshold = size;
        }
        if (areMostDelayed(recent, lateMs)) {
            size = Math.max(MIN_SIZE, size * DECREASE_FACTOR);
            // After consecutive decreases, as in a stall of the process, the window soon grows to the first of them.
            slowStartThreshold = grownSinceDecrease ? size : slowStartThreshold;
            grownSinceDecrease = false;
            decreasedAtMs = nowMs;
        }
    };
    const countOutstandingToSilent = (): number =>
        [...paths.values()].reduce((sum, path) => sum + (path.silent ? path.outstanding : 0), 0);
    return {
        track: async (executor, send) => {
            const path = pathOf(executor);
            path.outstanding++;
            outstanding++;
            const sentAtMs = monotonicMs();
            try {
                const result = await send();
                recordEnd(path, result, sentAtMs);
                return result;
            } finally {
                path.outstanding--;
                outstanding--;
            }
        },
        createBudget: () => {
            adaptToCongestion();
            let remaining = Math.floor(size) - outstanding;
            let remainingForSilent = Math.floor(size * SILENT_SHARE) - countOutstandingToSilent();
            const isSilent = (executor: ExecutorId): boolean => paths.get(executor)?.silent === true;
            return {
                isExhausted: () => remaining <= 0,
                allows: executor => remaining > 0 && (!isSilent(executor) || remainingForSilent > 0),
                spend: executor => {
                    remaining--;
                    remainingForSilent -= isSilent(executor) ? 1 : 0;
                },
            };
        },
        size: () => Math.floor(size),
        forget: executor => void paths.delete(executor),
    };
};

/** True if more than half of the executors took longer than the limit. */
const areMostDelayed = (outcomes: readonly Outcome[], limitMs: number): boolean => {
    const delayed = outcomes.filter(({ delayMs }) => delayMs > limitMs).length;
    return delayed >= MIN_DELAYED_EXECUTORS && delayed * 2 > outcomes.length;
};

const createPath = (): ExecutorPath => ({ outstanding: 0, silent: false, idleResponseMs: undefined, last: undefined });

const nextIdleResponse = (idleMs: number, tookMs: number): number =>
    tookMs <= idleMs ? tookMs : idleMs + (tookMs - idleMs) * IDLE_RESPONSE_WEIGHT;
