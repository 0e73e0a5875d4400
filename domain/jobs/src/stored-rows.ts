import { z } from "zod";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { countTasks, dependsOnEarlierSteps, jobStates, MAX_TASKS, type Job } from "./job.js";
import { compactProgress, compactRanges, expandRanges, expandSteps } from "./compact-progress.js";
import type { Progress, StepProgress } from "./progress.js";
import { parseJson } from "./json-text.js";

const FORMAT = 1;
/** Format of the progress of large jobs, which earlier versions cannot read. */
const COMPACT_FORMAT = 2;
/** Format of the progress of jobs with completed occurrences; an earlier version, which cannot read it, would repeat them. */
const OCCURRENCES_FORMAT = 3;
// Half of the size that a store takes in a row.
const MAX_PLAIN_PROGRESS_BYTES = 32_768;
// At least the lengths of the JSON texts, without those of checkpoints and lists of runs.
const BYTES_PER_STEP = 80;
const BYTES_PER_DONE_TASK = 7;
const BYTES_PER_FAILED_TASK = 80;
const BYTES_PER_RUN_NUMBER = 17;
const BYTES_PER_CHECKPOINT = 40;

const count = z.int().min(0);
const amount = z.number().min(0);
const resources = z.object({ cpu: amount, memoryMb: amount, gpu: amount });

const step = z.object({
    count: z.int().min(1),
    demand: resources,
    estimateMs: amount,
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

const terms = z.object({
    priority: z.number(),
    maxAttempts: z.int(),
    stretch: z.number(),
    graceMs: z.number(),
    advice: z.object({ decideMs: z.number(), perExecutorMs: z.number(), validMs: z.number() }).optional(),
});

const storedJob = z.object({
    format: z.literal(FORMAT),
    job: z
        .object({
            id: z.string(),
            queue: z.string(),
            pool: z.string(),
            // Absent in rows of jobs without a tenant and of earlier versions, which ignore it.
            tenant: z.string().optional(),
            // Absent in rows of earlier versions, which ignore it. A job whose terms are damaged is not lost: it has none.
            terms: terms.optional().catch(undefined),
            spec: z.string(),
            steps: z
                .array(step)
                .refine(steps => steps.every(dependsOnEarlierSteps), "a step waits for one that is not an earlier one"),
            schedule: z
                .object({ occurrences: z.int().min(1), firstRunMs: z.number(), intervalMs: z.number() })
                .optional(),
            acceptedAtMs: z.number(),
        })
        .refine(({ steps, schedule }) => countTasks(steps, schedule) <= MAX_TASKS, `more than ${MAX_TASKS} tasks`),
});

const steps = z.array(
    z.object({
        occurrence: count,
        step: count,
        done: z.array(count),
        failures: z.array(
            z.object({
                index: count,
                attempts: count,
                lastRun: count,
                runs: z.array(count).optional(),
            }),
        ),
        checkpoints: z.array(z.object({ index: count, checkpoint: z.string() })),
    }),
);
const state = z.enum(jobStates);

const expanded = (what: string, expand: (text: string) => unknown) =>
    z.string().transform((text, context): unknown => {
        try {
            return expand(text);
        } catch (error) {
            context.addIssue({ code: "custom", message: `the compact ${what} are damaged: ${String(error)}` });
            return z.NEVER;
        }
    });
const expandedSteps = expanded("steps", expandSteps);

const ranges = z
    .array(z.tuple([count, count]))
    .refine(
        pairs => pairs.every(([first, last], index) => first <= last && first > (pairs[index - 1]?.[1] ?? -1)),
        "the ranges are not in ascending order",
    );

const storedProgress = z.discriminatedUnion("format", [
    z.object({
        format: z.literal(FORMAT),
        progress: z.object({ state, steps, neverAccepted: z.literal(true).optional() }),
    }),
    z.object({
        format: z.literal(COMPACT_FORMAT),
        progress: z.object({ state, steps: expandedSteps.pipe(steps) }),
    }),
    z.object({
        format: z.literal(OCCURRENCES_FORMAT),
        progress: z.object({
            state,
            steps: expandedSteps.pipe(steps),
            completedOccurrences: expanded("ranges", expandRanges).pipe(ranges),
        }),
    }),
]);

/** Encodes a job for the store. */
export const encodeJob = (job: Job): string => JSON.stringify({ format: FORMAT, job });

/** Decodes a stored job; throws `bad-message` if the row is invalid. */
export const decodeJob = (text: string): Job => decode("job", storedJob, text).job as unknown as Job;

/** Encodes the progress of a job for the store; that of a large job or one with completed occurrences is compressed. */
export const encodeProgress = (progress: Progress): string => {
    const { state, steps, completedOccurrences = [], neverAccepted } = progress;
    if (completedOccurrences.length > 0) {
        return JSON.stringify({
            format: OCCURRENCES_FORMAT,
            progress: { ...compactProgress(progress), completedOccurrences: compactRanges(completedOccurrences) },
        });
    }
    return JSON.stringify(
        plainBytes(progress) <= MAX_PLAIN_PROGRESS_BYTES
            ? { format: FORMAT, progress: { state, steps, neverAccepted } }
            : { format: COMPACT_FORMAT, progress: compactProgress(progress) },
    );
};

const plainBytes = ({ steps }: Progress): number => sumOf(steps, plainStepBytes);

const plainStepBytes = ({ done, failures, checkpoints }: StepProgress): number =>
    BYTES_PER_STEP +
    done.length * BYTES_PER_DONE_TASK +
    sumOf(failures, ({ runs }) => BYTES_PER_FAILED_TASK + (runs?.length ?? 0) * BYTES_PER_RUN_NUMBER) +
    sumOf(checkpoints, ({ checkpoint }) => BYTES_PER_CHECKPOINT + Buffer.byteLength(checkpoint));

const sumOf = <Item>(items: readonly Item[], amountOf: (item: Item) => number): number =>
    items.reduce((sum, item) => sum + amountOf(item), 0);

/** Decodes the stored progress of a job, in any format; throws `bad-message` if the row is invalid. */
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
