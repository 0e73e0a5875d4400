import { z } from "zod";

const MAX_DELAY_MS = 60 * 60 * 1000;

const delaySchema = z.int().min(0).max(MAX_DELAY_MS);

/** Schema of the faults of one VM. Absent keys mean no fault. */
export const faultSchema = z.strictObject({
    /** Answers 500 without waiting for the run time. */
    failFast: z.boolean().default(false),
    /** Rejects every request with 503 and the verdict not-run. */
    refuse: z.boolean().default(false),
    /** Runs the request and closes the connection without an answer. */
    closeWithoutAnswer: z.boolean().default(false),
    /** Closes the connection after the head of the answer. */
    closeAfterHead: z.boolean().default(false),
    /** Closes the connection in the middle of the body. */
    cutBody: z.boolean().default(false),
    /** Declared Content-Length minus the actual body size, in bytes. */
    contentLengthError: z.int().min(-1024).max(1024).default(0),
    /** Sends an unsolicited answer on the connection this long after each answer. */
    unsolicitedAfterMs: delaySchema.optional(),
    /** Delay of each answer in addition to its run time. */
    answerDelayMs: delaySchema.default(0),
    /** Swaps the answers of each pair of requests, so that each is sent on the other's connection. */
    crossAnswers: z.boolean().default(false),
    /** Sends each answer twice. */
    answerTwice: z.boolean().default(false),
    /** Holds all new requests until the fault is cleared. */
    freeze: z.boolean().default(false),
    /** Stops listening and closes all connections. */
    down: z.boolean().default(false),
});

/** Validated faults of one VM with all defaults filled in. */
export type Faults = z.output<typeof faultSchema>;

/** Faults as callers set them. Absent keys mean no fault. */
export type FaultInput = z.input<typeof faultSchema>;
