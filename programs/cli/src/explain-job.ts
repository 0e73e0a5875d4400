import { parseJson } from "@almondusher/jobs/json-text";
import { z } from "zod";

const lineSchema = z.looseObject({
    event: z.string(),
    /** ISO 8601. */
    time: z.string(),
    vm: z.string().optional(),
    job: z.string().optional(),
    task: z.string().optional(),
    executor: z.string().optional(),
    outcome: z.string().optional(),
    state: z.string().optional(),
    how: z.string().optional(),
    cause: z.string().optional(),
    reason: z.string().optional(),
});

/** A line of a dispatcher's log about a job. */
export type JobEvent = z.output<typeof lineSchema>;

/** What the logs say of a job. */
export interface JobExplanation {
    readonly job: string;
    /** State that was stored last; undefined if no line tells of an end. */
    readonly state: string | undefined;
    readonly findings: readonly string[];
    /** Oldest first. */
    readonly events: readonly JobEvent[];
}

/** Finds the lines about a job in logs, whatever stands before the JSON of a line. */
export const findJobEvents = (lines: readonly string[], job: string): readonly JobEvent[] =>
    lines
        .filter(line => line.includes(job))
        .flatMap(line => {
            const parsed = lineSchema.safeParse(parseJson(line.slice(Math.max(0, line.indexOf("{")))));
            return parsed.success && isAbout(parsed.data, job) ? [parsed.data] : [];
        })
        .toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));

/** Tells from the logs how a job came to its end, or what it waits for. */
export const explainJob = (job: string, events: readonly JobEvent[]): JobExplanation => {
    const finished = events.findLast(({ event }) => event === "job-finished");
    return {
        job,
        state: finished?.state,
        findings: [
            acceptance(events),
            start(events),
            ...takeovers(events),
            ...countBy(runsThat(events, "stopped"), "cause", "stopped"),
            ...countBy(runsThat(events, "failed"), "executor", "failed on"),
            ...countBy(runsThat(events, "lapsed"), "executor", "lost their lease on"),
            ...countBy(ofKind(events, "start-not-accepted"), "reason", "not accepted by an executor"),
            ...countBy(ofKind(events, "run-lapsed"), "executor", "given up, out of reach on"),
            finished === undefined ? "no line tells of its end" : `${finished.state} at ${finished.time}`,
        ],
        events,
    };
};

const isAbout = (event: JobEvent, job: string): boolean =>
    event.job === job || event.task?.startsWith(`${job}.`) === true;

const ofKind = (events: readonly JobEvent[], kind: string): readonly JobEvent[] =>
    events.filter(({ event }) => event === kind);

const runsThat = (events: readonly JobEvent[], how: string): readonly JobEvent[] =>
    ofKind(events, "run-ended").filter(event => event.how === how);

const betweenMs = (from: JobEvent, to: JobEvent): number => Date.parse(to.time) - Date.parse(from.time);

const acceptance = (events: readonly JobEvent[]): string => {
    const answers = ofKind(events, "request-answered").filter(({ method }) => method === "POST");
    const accepted = answers.find(({ outcome }) => outcome === "accepted");
    if (accepted !== undefined) {
        return `accepted by ${accepted.vm ?? "an entry"} at ${accepted.time}`;
    }
    const last = answers.at(-1);
    return last === undefined ? "no line tells of its submission" : `not accepted: ${last.outcome ?? "no outcome"}`;
};

const start = (events: readonly JobEvent[]): string => {
    const [admitted] = ofKind(events, "job-admitted");
    const [placed] = ofKind(events, "run-placed");
    if (admitted === undefined) {
        return "no scheduler has read it";
    }
    return placed === undefined
        ? `read by the scheduler on ${admitted.vm ?? "a VM"} and never started`
        : `first start ${betweenMs(admitted, placed)} ms after the scheduler on ${admitted.vm ?? "a VM"} read it`;
};

const takeovers = (events: readonly JobEvent[]): readonly string[] =>
    ofKind(events, "job-admitted")
        .slice(1)
        .map(({ vm, time }) => `taken over by the scheduler on ${vm ?? "a VM"} at ${time}`);

const countBy = (events: readonly JobEvent[], field: "cause" | "executor" | "reason", what: string): string[] => {
    const counts = events.reduce(
        (sums, event) => sums.set(event[field] ?? "unknown", (sums.get(event[field] ?? "unknown") ?? 0) + 1),
        new Map<string, number>(),
    );
    return [...counts].map(([value, count]) => `${count} run(s) ${what}: ${value}`);
};
