import { z } from "zod";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { jobStates, type Job } from "./job.js";
import type { Progress } from "./progress.js";
import { parseJson } from "./json-text.js";

const FORMAT = 1;

const resources = z.object({ cpu: z.number(), memoryMb: z.number(), gpu: z.number() });

const step = z.object({
    count: z.int().min(1),
    demand: resources,
    estimateMs: z.number(),
    after: z.array(z.int()),
    checkpointing: z.boolean(),
    gang: z.boolean(),
    sameRack: z.boolean(),
    requiredLabel: z.string().optional(),
    dataRack: z.string().optional(),
    maxPerExecutor: z.int().optional(),
    speculative: z.boolean(),
    longRunning: z.boolean(),
    image: z.string().optional(),
    latencyTargetMs: z.number().optional(),
    backfill: z.boolean(),
    disruptionBudget: z.int().optional(),
});

const storedJob = z.object({
    format: z.literal(FORMAT),
    job: z.object({
        id: z.string(),
        queue: z.string(),
        pool: z.string(),
        spec: z.string(),
        steps: z.array(step),
        schedule: z.object({ occurrences: z.int(), firstRunMs: z.number(), intervalMs: z.number() }).optional(),
        acceptedAtMs: z.number(),
    }),
});

const storedProgress = z.object({
    format: z.literal(FORMAT),
    progress: z.object({
        state: z.enum(jobStates),
        steps: z.array(
            z.object({
                occurrence: z.int(),
                step: z.int(),
                done: z.array(z.int()),
                failures: z.array(
                    z.object({
                        index: z.int(),
                        attempts: z.int(),
                        lastRun: z.number(),
                        runs: z.array(z.int()).optional(),
                    }),
                ),
                checkpoints: z.array(z.object({ index: z.int(), checkpoint: z.string() })),
            }),
        ),
    }),
});

/** Encodes a job for the store. */
export const encodeJob = (job: Job): string => JSON.stringify({ format: FORMAT, job });

/** Decodes a stored job; throws `bad-message` if the row is invalid. */
export const decodeJob = (text: string): Job => decode("job", storedJob, text).job as unknown as Job;

/** Encodes the progress of a job for the store. */
export const encodeProgress = (progress: Progress): string => JSON.stringify({ format: FORMAT, progress });

/** Decodes the stored progress of a job; throws `bad-message` if the row is invalid. */
export const decodeProgress = (text: string): Progress => decode("progress", storedProgress, text).progress;

const decode = <Schema extends z.ZodType>(kind: string, schema: Schema, text: string): z.output<Schema> => {
    const parsed = schema.safeParse(parseJson(text));
    if (!parsed.success) {
        throw new FleetError("bad-message", {
            message: `stored ${kind} cannot be decoded: ${z.prettifyError(parsed.error)}`,
            hint: "the row was written by another version or is damaged; it was not changed",
        });
    }
    return parsed.data;
};
