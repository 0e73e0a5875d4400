import { parseJson } from "@almondusher/jobs/json-text";
import { z } from "zod";

const jobEventSchema = z.looseObject({
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
    phase: z.string().optional(),
    waitedMs: z.number().optional(),
});

/** A log line of a dispatcher about a job. */
export type JobEvent = z.output<typeof jobEventSchema>;

/** Summary of the log lines about a job. */
export interface JobExplanation {
    readonly job: string;
    /** State in the last `job-finished` event; undefined if there is none. */
    readonly state: string | undefined;
    readonly findings: readonly string[];
    /** Oldest first. */
    readonly events: readonly JobEvent[];
}

/** Finds the log lines about a job and sorts them by time; a line may have a prefix before its JSON object. */
export const findJobEvents = (lines: readonly string[], job: string): readonly JobEvent[] =>
    lines
        .filter(line => line.includes(job))
        .flatMap(line => {
            const parsed = jobEventSchema.safeParse(parseJson(line.slice(Math.max(0, line.indexOf("{")))));
            return parsed.success && concernsJob(parsed.data, job) ? [parsed.data] : [];
        })
        .toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));

/** Summarises the log events of a job: acceptance, first start, scheduler takeovers, waits, unsuccessful runs and the end. */
export const explainJob = (job: string, events: readonly JobEvent[]): JobExplanation => {
    const finished = events.findLast(({ event }) => event === "job-finished");
    return {
        job,
        state: finished?.state,
        findings: [
            describeAcceptance(events),
            describeFirstStart(events),
            ...describeTakeovers(events),
            ...describeWaits(eventsOfKind(events, "task-waiting")),
            ...describeRunCountsBy(runsEndedAs(events, "stopped"), "cause", "stopped"),
            ...describeRunCountsBy(runsEndedAs(events, "failed"), "executor", "failed on executor"),
            ...describeRunCountsBy(runsEndedAs(events, "lapsed"), "executor", "lost their lease on executor"),
            ...describeRunCountsBy(eventsOfKind(events, "start-not-accepted"), "reason", "not accepted by an executor"),
            ...describeRunCountsBy(
                eventsOfKind(events, "run-lapsed"),
                "executor",
                "given up because the executor was unreachable",
            ),
            finished === undefined ? "no log line reports the end of the job" : `${finished.state} at ${finished.time}`,
        ],
        events,
    };
};

const concernsJob = (event: JobEvent, job: string): boolean =>
    event.job === job || event.task?.startsWith(`${job}.`) === true;

const eventsOfKind = (events: readonly JobEvent[], kind: string): readonly JobEvent[] =>
    events.filter(({ event }) => event === kind);

const runsEndedAs = (events: readonly JobEvent[], how: string): readonly JobEvent[] =>
    eventsOfKind(events, "run-ended").filter(event => event.how === how);

const elapsedMs = (from: JobEvent, to: JobEvent): number => Date.parse(to.time) - Date.parse(from.time);

const describeAcceptance = (events: readonly JobEvent[]): string => {
    const answers = eventsOfKind(events, "request-answered").filter(({ method }) => method === "POST");
    const accepted = answers.find(({ outcome }) => outcome === "accepted");
    if (accepted !== undefined) {
        return `accepted by ${accepted.vm ?? "an entry"} at ${accepted.time}`;
    }
    const last = answers.at(-1);
    return last === undefined
        ? "no log line reports the submission of the job"
        : `not accepted: ${last.outcome ?? "no outcome"}`;
};

const describeFirstStart = (events: readonly JobEvent[]): string => {
    const [admitted] = eventsOfKind(events, "job-admitted");
    const [placed] = eventsOfKind(events, "run-placed");
    if (admitted === undefined) {
        return "no scheduler has admitted the job";
    }
    return placed === undefined
        ? `admitted by the scheduler on ${admitted.vm ?? "a VM"}, but no start was logged`
        : `first start ${elapsedMs(admitted, placed)} ms after the scheduler on ${admitted.vm ?? "a VM"} admitted the job`;
};

const describeTakeovers = (events: readonly JobEvent[]): readonly string[] =>
    eventsOfKind(events, "job-admitted")
        .slice(1)
        .map(({ vm, time }) => `taken over by the scheduler on ${vm ?? "a VM"} at ${time}`);

// Each line of a task reports the whole time for which it has waited.
const describeWaits = (events: readonly JobEvent[]): string[] =>
    [...new Set(events.map(describeReason))].map(reason => {
        const waits = events.filter(event => describeReason(event) === reason);
        const tasks = new Set(waits.map(({ task }) => task)).size;
        const longestMs = Math.max(...waits.map(({ waitedMs }) => waitedMs ?? 0));
        return `${tasks} task(s) waited for up to ${longestMs} ms although there was room: ${reason}`;
    });

const describeReason = ({ reason, phase, executor }: JobEvent): string =>
    [
        reason ?? "unknown",
        ...(phase === undefined ? [] : [phase]),
        ...(executor === undefined ? [] : [`on executor ${executor}`]),
    ].join(", ");

const describeRunCountsBy = (
    events: readonly JobEvent[],
    field: "cause" | "executor" | "reason",
    description: string,
): string[] => {
    const counts = events.reduce(
        (sums, event) => sums.set(event[field] ?? "unknown", (sums.get(event[field] ?? "unknown") ?? 0) + 1),
        new Map<string, number>(),
    );
    return [...counts].map(([value, count]) => `${count} run(s) ${description}: ${value}`);
};
