import { z } from "zod";

const MAX_DELAY_MS = 60 * 60 * 1000;

const delaySchema = z.int().min(0).max(MAX_DELAY_MS);

/** Schema of the faults of one VM; absent keys are no fault. */
export const faultSchema = z.strictObject({
    /** Answers 500 at once. */
    failFast: z.boolean().default(false),
    /** Rejects every request with 503 and the verdict not-run. */
    refuse: z.boolean().default(false),
    /** Runs the request and closes the connection without an answer. */
    closeWithoutAnswer: z.boolean().default(false),
    /** Closes the connection after the head of the answer. */
    closeAfterHead: z.boolean().default(false),
    /** Closes the connection in the middle of the body. */
    cutBody: z.boolean().default(false),
    /** Bytes by which the declared Content-Length differs from the body; positive declares too many. */
    contentLengthError: z.int().min(-1024).max(1024).default(0),
    /** Sends bytes on the idle connection this long after each answer. */
    unsolicitedAfterMs: delaySchema.optional(),
    /** Sends each answer this much later, whatever its work time. */
    answerDelayMs: delaySchema.default(0),
    /** Sends the answers of each two requests on each other's connection. */
    crossAnswers: z.boolean().default(false),
    /** Sends each answer twice. */
    answerTwice: z.boolean().default(false),
    /** Holds all requests until the fault is lifted. */
    freeze: z.boolean().default(false),
    /** Listens no more and closes all connections. */
    down: z.boolean().default(false),
});

/** Faults of one VM. */
export type Faults = z.output<typeof faultSchema>;

/** Faults as callers set them; absent keys are no fault. */
export type FaultInput = z.input<typeof faultSchema>;
