import { z } from "zod";
import type { ExecutorId, TaskId } from "@almondusher/jobs/ids";
import type { UndeliveredStart } from "@almondusher/scheduler/pool-tables";

/** A start request without a response that may still be carried out, as stored in the lease row of a pool. */
export interface StoredStart {
    readonly executor: ExecutorId;
    readonly task: TaskId;
    readonly number: number;
    /** When it was sent, on the store's clock, in milliseconds. */
    readonly sentAtMs: number;
}

/** The stored starts of a lease row; none if they are absent, as in rows written by earlier versions, or malformed. */
export const storedStartsSchema = z
    .array(z.object({ executor: z.string(), task: z.string(), number: z.int(), sentAtMs: z.number() }))
    .catch([]);

/** `storeAheadMs` is the store's clock less the monotonic clock, in milliseconds. */
export const storedStarts = (starts: readonly UndeliveredStart[], storeAheadMs: number): readonly StoredStart[] =>
    starts.map(({ sentAtMs, ...start }) => ({ ...start, sentAtMs: Math.round(sentAtMs + storeAheadMs) }));

/** The inverse of `storedStarts`. */
export const undeliveredStartsOf = (
    starts: readonly StoredStart[],
    storeAheadMs: number,
): readonly UndeliveredStart[] =>
    starts.map(({ sentAtMs, ...start }) => ({ ...start, sentAtMs: sentAtMs - storeAheadMs }));
