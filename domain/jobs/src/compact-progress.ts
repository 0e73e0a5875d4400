import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { NumberRanges } from "@almondusher/fleet/number-ranges";
import { MAX_TASKS, type JobState } from "./job.js";
import type { Progress, StepProgress, TaskFailures } from "./progress.js";

/** Progress as text of a size that follows its information: differences of ascending numbers, and ranges of done tasks. */
export interface CompactProgress {
    readonly state: JobState;
    /** The compressed steps, in base64. */
    readonly steps: string;
}

/** A step as numbers, and the checkpoints with the indexes of their tasks. */
type CompactStep = readonly [numbers: readonly number[], checkpoints?: readonly (readonly [number, string])[]];

/** Reads numbers one after the other. */
interface NumberReader {
    readonly next: () => number;
}

// Far above the text of MAX_TASKS tasks; a damaged row must not exhaust the memory.
const MAX_INFLATED_BYTES = 64_000_000;

/** Encodes the progress of a large job. */
export const compactProgress = ({ state, steps }: Progress): CompactProgress => {
    return { state, steps: compress(steps.map((step, index) => compactStep(step, steps[index - 1]))) };
};

/** Decodes the steps of a large job; throws if they are damaged. */
export const expandSteps = (compressed: string): readonly StepProgress[] => {
    const steps: StepProgress[] = [];
    (decompress(compressed) as readonly CompactStep[]).forEach(step => steps.push(expandStep(step, steps.at(-1))));
    return steps;
};

/** Encodes ranges as the distance of each from the end of the one before and its length. */
export const compactRanges = (ranges: NumberRanges): string =>
    compress(
        ranges.flatMap(([first, last], index) => [first - ((ranges[index - 1]?.[1] ?? -1) + 1), last - first + 1]),
    );

/** Decodes ranges; throws if they are damaged. */
export const expandRanges = (compressed: string): NumberRanges => {
    const numbers = decompress(compressed);
    if (!Array.isArray(numbers)) {
        throw new RangeError("not a list of ranges");
    }
    return readRangeNumbers(numbers as readonly number[]);
};

const readRangeNumbers = (numbers: readonly number[]): NumberRanges => {
    const ranges: [number, number][] = [];
    let end = 0;
    for (let index = 0; index < numbers.length; index += 2) {
        const first = end + (numbers[index] ?? 0);
        end = first + (numbers[index + 1] ?? 0);
        ranges.push([first, end - 1]);
    }
    return ranges;
};

const compress = (content: unknown): string => deflateRawSync(JSON.stringify(content)).toString("base64");

const decompress = (compressed: string): unknown =>
    JSON.parse(inflateRawSync(Buffer.from(compressed, "base64"), { maxOutputLength: MAX_INFLATED_BYTES }).toString());

const compactStep = (step: StepProgress, previous: StepProgress | undefined): CompactStep => {
    const ranges = toRanges(step.done);
    const numbers = [
        step.occurrence - (previous?.occurrence ?? 0),
        step.step,
        ranges.length,
        ...ranges.flat(),
        ...compactFailures(step.failures),
    ];
    return step.checkpoints.length === 0
        ? [numbers]
        : [numbers, step.checkpoints.map(({ index, checkpoint }) => [index, checkpoint])];
};

const expandStep = ([numbers, checkpoints = []]: CompactStep, previous: StepProgress | undefined): StepProgress => {
    const reader = createNumberReader(numbers);
    const occurrence = reader.next() + (previous?.occurrence ?? 0);
    const step = reader.next();
    const done = readRanges(reader);
    const failures = readFailures(reader);
    return {
        occurrence,
        step,
        done,
        failures,
        checkpoints: checkpoints.map(([index, checkpoint]) => ({ index, checkpoint })),
    };
};

/** Ranges of successive numbers, each as the distance from the end of the one before and its length. */
const toRanges = (indexes: readonly number[]): readonly (readonly [number, number])[] => {
    const ranges: [number, number][] = [];
    let end = 0;
    indexes.forEach(index => {
        const range = ranges.at(-1);
        if (range !== undefined && index === end) {
            range[1]++;
        } else {
            ranges.push([index - end, 1]);
        }
        end = index + 1;
    });
    return ranges;
};

const readRanges = (reader: NumberReader): readonly number[] => {
    let end = 0;
    return readList(reader, () => {
        const start = end + reader.next();
        const length = readLength(reader);
        end = start + length;
        return Array.from({ length }, (unused, offset) => start + offset);
    }).flat();
};

// The number of runs is one higher than that of the list, and 0 without a list.
const compactFailures = (failures: readonly TaskFailures[]): readonly number[] => {
    let index = 0;
    let run = 0;
    const toDifference = (value: number): number => {
        const difference = value - run;
        run = value;
        return difference;
    };
    const entries = failures.flatMap(entry => {
        const indexDifference = entry.index - index;
        index = entry.index;
        return [
            indexDifference,
            entry.attempts,
            toDifference(entry.lastRun),
            entry.runs === undefined ? 0 : entry.runs.length + 1,
            ...(entry.runs ?? []).map(toDifference),
        ];
    });
    return failures.length === 0 ? [] : [failures.length, ...entries];
};

const readFailures = (reader: NumberReader): readonly TaskFailures[] => {
    let index = 0;
    let run = 0;
    const nextRun = (): number => (run += reader.next());
    return readList(reader, () => {
        index += reader.next();
        const attempts = reader.next();
        const lastRun = nextRun();
        const length = readLength(reader);
        return length === 0
            ? { index, attempts, lastRun }
            : { index, attempts, lastRun, runs: Array.from({ length: length - 1 }, nextRun) };
    });
};

const readList = <Item>(reader: NumberReader, readItem: () => Item): readonly Item[] =>
    Array.from({ length: readLength(reader) }, readItem);

const readLength = (reader: NumberReader): number => {
    const length = reader.next();
    if (!(length >= 0 && length <= MAX_TASKS)) {
        throw new RangeError(`a list of ${length} entries`);
    }
    return length;
};

/** Numbers that are left out at the end are 0. */
const createNumberReader = (numbers: readonly number[]): NumberReader => {
    let position = 0;
    return { next: () => numbers[position++] ?? 0 };
};
