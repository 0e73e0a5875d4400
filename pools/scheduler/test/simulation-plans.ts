import fc from "fast-check";
import type { Step } from "@almondusher/jobs/job";
import { step } from "./fixture.js";
import type { SimulatedFault } from "./simulated-fault.js";
import type { SimulationPlan } from "./simulated-pool.js";

/** Time within which faults begin, in milliseconds. */
const FAULTS_WITHIN_MS = 15_000;
const JOBS_WITHIN_MS = 8000;
const MAX_SPAN_MS = 3000;
/** Longest time for which a platform may hold back a call, in milliseconds. */
const MAX_LATE_MS = 12_000;
const MIN_LATE_MS = 2000;

// Round times, so that shrunk examples can be read.
const timeUpTo = (maxMs: number): fc.Arbitrary<number> =>
    fc.integer({ min: 0, max: maxMs / 100 }).map(hundreds => hundreds * 100);
const timeBetween = (minMs: number, maxMs: number): fc.Arbitrary<number> =>
    timeUpTo(maxMs - minMs).map(ms => ms + minMs);

/** CPU of a task that lasts: all of them together leave room for the largest gang, also on a single VM. */
const LONG_RUNNING_CPU = 100;

const steps: fc.Arbitrary<readonly Step[]> = fc
    .array(
        fc.record({
            kind: fc.constantFrom("plain", "gang", "long-running"),
            count: fc.integer({ min: 1, max: 3 }),
            workMs: timeBetween(200, 2500),
            cpu: fc.constantFrom(1000, 500, 1400),
            maxPerExecutor: fc.constantFrom(undefined, 1, 2),
            isAfterPrevious: fc.boolean(),
        }),
        { minLength: 1, maxLength: 3 },
    )
    .map(described =>
        described.map(({ kind, count, workMs, cpu, maxPerExecutor, isAfterPrevious }, index) => {
            const previous = described[index - 1];
            return step({
                count,
                demand: { cpu: kind === "long-running" ? LONG_RUNNING_CPU : cpu, memoryMb: 100, gpu: 0 },
                estimateMs: workMs,
                after: isAfterPrevious && previous !== undefined && previous.kind !== "long-running" ? [index - 1] : [],
                gang: kind === "gang",
                longRunning: kind === "long-running",
                maxPerExecutor,
            });
        }),
    );

const span = {
    fromMs: timeUpTo(FAULTS_WITHIN_MS),
    durationMs: timeBetween(100, MAX_SPAN_MS),
};
const calls = fc.constantFrom("start", "stop", "report", "all");
const returns = fc.constantFrom("same-id", "new-id");

const MAX_VMS = 4;
const MAX_JOBS = 4;
const executor = fc.integer({ min: 0, max: MAX_VMS - 1 });

const anyFault = (): fc.Arbitrary<SimulatedFault> => {
    const end = {
        executor,
        atMs: timeUpTo(FAULTS_WITHIN_MS),
        downMs: timeBetween(100, MAX_SPAN_MS),
        returns,
        firstHeartbeatMs: timeUpTo(1500),
    };
    return fc.oneof(
        {
            weight: 5,
            arbitrary: fc.record({
                kind: fc.constant("late-calls"),
                executor,
                ...span,
                calls: fc.constantFrom("start", "start", "stop", "report", "all"),
                delayMs: timeBetween(MIN_LATE_MS, MAX_LATE_MS),
            }),
        },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constant("slow-responses"),
                executor,
                ...span,
                calls,
                delayMs: fc.constantFrom(20, 100, 300, 600),
            }),
        },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("lost-responses"), executor, ...span, calls }) },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constant("unreachable"),
                executor,
                fromMs: span.fromMs,
                durationMs: timeBetween(100, 10_000),
            }),
        },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constantFrom("unhealthy", "failing", "unregistered", "evacuated"),
                executor,
                fromMs: span.fromMs,
                durationMs: timeBetween(100, 6000),
            }),
        },
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("crash"),
                address: fc.constantFrom("refuses", "silent"),
                ...end,
                returns: fc.constantFrom("same-id", "same-id", "new-id", "never"),
            }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("drain"), drainMs: timeBetween(500, 3000), ...end }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("maintenance"), ...end }) },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constantFrom("store-slow", "lease-not-renewed", "registry-not-read", "paused"),
                ...span,
            }),
        },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constant("takeover"),
                atMs: timeUpTo(FAULTS_WITHIN_MS),
                gapMs: timeBetween(500, 4000),
            }),
        },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constant("cancel"),
                job: fc.integer({ min: 0, max: MAX_JOBS - 1 }),
                atMs: timeUpTo(FAULTS_WITHIN_MS),
            }),
        },
    );
};

// A start that is held back while its executor restarts under its id; the task may be placed there again meanwhile.
const lateStartsOverRestarts = (): fc.Arbitrary<readonly SimulatedFault[]> =>
    fc
        .record({
            executor,
            ...span,
            lateMs: timeBetween(MIN_LATE_MS, MAX_LATE_MS),
            restartAfterMs: timeUpTo(2000),
            downMs: timeBetween(100, 2000),
            address: fc.constantFrom("refuses", "silent"),
            secondAfterMs: timeBetween(1000, MAX_LATE_MS),
        })
        .map(({ executor, fromMs, durationMs, lateMs, restartAfterMs, downMs, address, secondAfterMs }) => [
            { kind: "late-calls", calls: "start", executor, fromMs, durationMs, delayMs: lateMs },
            {
                kind: "crash",
                executor,
                atMs: fromMs + restartAfterMs,
                downMs,
                returns: "same-id",
                firstHeartbeatMs: 0,
                address,
            },
            {
                kind: "late-calls",
                calls: "start",
                executor,
                fromMs: fromMs + secondAfterMs,
                durationMs,
                delayMs: lateMs,
            },
        ]);

const describeStep = ({ gang, longRunning, count, demand, estimateMs, after, maxPerExecutor }: Step): string =>
    [
        `${count} x ${gang ? "gang" : longRunning ? "long-running" : "plain"}`,
        `${demand.cpu} cpu`,
        `${estimateMs} ms`,
        ...(after.length > 0 ? [`after ${after.join()}`] : []),
        ...(maxPerExecutor === undefined ? [] : [`at most ${maxPerExecutor} an executor`]),
    ].join(", ");

const describePlan = ({ jobs, faults, ...properties }: SimulationPlan): string =>
    [
        JSON.stringify(properties),
        ...jobs.map(({ atMs, steps: all }, index) => `job${index} at ${atMs} ms: ${all.map(describeStep).join(" | ")}`),
        ...faults.map(fault => JSON.stringify(fault)),
    ].join("\n");

// A plan is drawn for the largest pool and then restricted to its VMs, so that each of its parts shrinks on its own.
const fitToPool = ({ vmCount, jobs, faults, ...plan }: SimulationPlan): SimulationPlan => {
    const fitted = faults.map(fault => fitFault(fault, vmCount));
    const lost = new Set(fitted.filter(isLoss).map(fault => ("executor" in fault ? fault.executor : undefined)));
    return {
        ...plan,
        vmCount,
        jobs: jobs.map(job => ({ ...job, steps: job.steps.map(described => fitStep(described, vmCount - lost.size)) })),
        faults: fitted,
    };
};

const isLoss = (fault: SimulatedFault): boolean => "returns" in fault && fault.returns === "never";

// The first VM is never lost for good.
const fitFault = (fault: SimulatedFault, vmCount: number): SimulatedFault => {
    if (!("executor" in fault)) {
        return fault;
    }
    const executor = fault.executor % vmCount;
    return executor === 0 && "returns" in fault && fault.returns === "never"
        ? { ...fault, executor, returns: "new-id" }
        : { ...fault, executor };
};

// All tasks of a step must find room at once.
const fitStep = (described: Step, vmCount: number): Step => ({
    ...described,
    maxPerExecutor:
        described.maxPerExecutor === undefined
            ? undefined
            : Math.max(described.maxPerExecutor, Math.ceil(described.count / vmCount)),
});

/** Plans with jobs and faults of all kinds. */
export const simulationPlans = (
    fixed: Pick<SimulationPlan, "callsOutlastIncarnations">,
): fc.Arbitrary<SimulationPlan> =>
    fc
        .record({
            vmCount: fc.integer({ min: 1, max: MAX_VMS }),
            jobs: fc.array(fc.record({ atMs: timeUpTo(JOBS_WITHIN_MS), steps }), { minLength: 1, maxLength: MAX_JOBS }),
            clockRate: fc.constantFrom(1, 0.99, 0.98),
            maxListedEnds: fc.constantFrom(500, 3, 1),
            orderWindow: fc.constantFrom(32, 8, 2),
            keepsRunsApart: fc.boolean(),
            callsOutlastIncarnations: fc.constant(fixed.callsOutlastIncarnations),
            clocksGoOn: fc.boolean(),
            faults: fc
                .array(
                    fc.oneof(
                        { weight: 4, arbitrary: anyFault().map(fault => [fault]) },
                        { weight: 1, arbitrary: lateStartsOverRestarts() },
                    ),
                    { maxLength: 12 },
                )
                .map(groups => groups.flat()),
        })
        .map(fitToPool)
        .map(plan => ({ ...plan, [fc.toStringMethod]: () => describePlan(plan) }));
