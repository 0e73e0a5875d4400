import type { Resources, Step } from "@almondusher/jobs/job";
import { orderSteps } from "./order-steps.js";
import type { Executor, OpenStep, PoolTables, Run, Task } from "./pool-tables.js";

/** Conditions under which tasks may start. */
export interface PlacementTerms {
    readonly nowMs: number;
    /** Executors that hold a ticket for the step; undefined if the step needs none. */
    readonly tickets: (step: OpenStep) => ReadonlySet<Executor["id"]> | undefined;
}

// Runs of one task are numbered within a fencing token, so that a successor's numbers are higher.
const RUNS_PER_TOKEN = 65_536;

/** Chooses executors for tasks that can start, and enters the runs in the tables. */
export const placeTasks = (tables: PoolTables, terms: PlacementTerms): readonly Run[] => {
    const executors = [...tables.executors.values()].filter(executor => isOpen(executor, terms.nowMs));
    const room = new Map(
        executors.map(executor => [executor, freeResources(executor)] as const).filter(([, free]) => hasRoom(free)),
    );
    if (room.size === 0) {
        return [];
    }
    const mayStartInherited = tables.isProgressCurrent && isPredecessorShutOut(tables, terms.nowMs);
    return orderSteps(tables, terms.nowMs)
        .filter(({ step: { job } }) => job.trusted && (!job.inherited || mayStartInherited))
        .flatMap(({ step }) => placeStep(tables, step, room, terms));
};

/** Resources of an executor that no run uses or may use. */
const freeResources = ({ record, runs }: Executor): Resources =>
    [...runs.values()].reduce((free, run) => subtract(free, demandOf(run.task.step.step)), record.capacity);

/** Resources that a task takes from its executor. */
export const demandOf = ({ demand, backfill }: Step): Resources => (backfill ? { ...demand, cpu: 0 } : demand);

type Room = Map<Executor, Resources>;

const isOpen = (executor: Executor, nowMs: number): boolean =>
    executor.registered &&
    executor.reachable &&
    executor.inspected &&
    executor.announced &&
    executor.evacuation === undefined &&
    !executor.record.draining &&
    executor.strays.length === 0 &&
    executor.avoidUntilMs <= nowMs;

/** True once every run that a former holder of the lease could have started is known or has surely ended. */
export const isPredecessorShutOut = (tables: PoolTables, nowMs: number): boolean =>
    nowMs >= tables.inheritedWaitUntilMs || [...tables.executors.values()].every(executor => executor.inspected);

const placeStep = (tables: PoolTables, step: OpenStep, room: Room, terms: PlacementTerms): readonly Run[] =>
    step.step.gang ? placeGang(tables, step, room, terms) : placeWaiting(tables, step, room, terms);

const placeWaiting = (tables: PoolTables, step: OpenStep, room: Room, terms: PlacementTerms): readonly Run[] => {
    const waiting = step.tasks.filter(task => !task.done && task.runs.length === 0);
    const runs: Run[] = [];
    // Tasks of a step differ only in where they failed, so what has no room for one has none for the others.
    waiting.every(task => {
        const run = placeTask(tables, task, room, terms);
        runs.push(...(run === undefined ? [] : [run]));
        return run !== undefined;
    });
    return runs;
};

const placeTask = (tables: PoolTables, task: Task, room: Room, terms: PlacementTerms): Run | undefined => {
    const executor = chooseExecutor(task, room, terms, undefined);
    return executor === undefined ? undefined : enterRun(tables, task, executor, nextRun(tables), room, terms.nowMs);
};

const placeGang = (tables: PoolTables, step: OpenStep, room: Room, terms: PlacementTerms): readonly Run[] => {
    // Members run only together, so a gang of which one run is left waits until that one has ended.
    if (step.tasks.some(task => task.done || task.runs.length > 0)) {
        return [];
    }
    const racks = step.step.sameRack ? [...new Set([...room.keys()].map(({ rack }) => rack))] : [];
    const plan = [...racks.map(rack => planGang(step, room, terms, rack)), planGang(step, room, terms, undefined)].find(
        candidate => candidate !== undefined,
    );
    if (plan === undefined) {
        return [];
    }
    const run = nextRun(tables);
    return plan.map(({ task, executor }) => enterRun(tables, task, executor, run, room, terms.nowMs));
};

interface PlannedMember {
    readonly task: Task;
    readonly executor: Executor;
}

const planGang = (
    step: OpenStep,
    room: Room,
    terms: PlacementTerms,
    rack: string | undefined,
): readonly PlannedMember[] | undefined => {
    const trial: Room = new Map([...room].filter(([executor]) => rack === undefined || executor.rack === rack));
    const members: PlannedMember[] = [];
    const complete = step.tasks.every(task => {
        const executor = chooseExecutor(task, trial, terms, members);
        if (executor === undefined) {
            return false;
        }
        trial.set(executor, subtract(trial.get(executor) ?? executor.record.capacity, demandOf(step.step)));
        members.push({ task, executor });
        return true;
    });
    return complete ? members : undefined;
};

const chooseExecutor = (
    task: Task,
    room: Room,
    terms: PlacementTerms,
    planned: readonly PlannedMember[] | undefined,
): Executor | undefined => {
    const { step } = task.step;
    const demand = demandOf(step);
    const tickets = terms.tickets(task.step);
    const candidates = [...room.entries()]
        .filter(([, free]) => fits(demand, free))
        .map(([executor]) => executor)
        .filter(executor => tickets === undefined || tickets.has(executor.id))
        .filter(({ record }) => step.requiredLabel === undefined || record.labels.includes(step.requiredLabel))
        .filter(executor => countOfStep(task.step, executor, planned) < (step.maxPerExecutor ?? Infinity))
        .filter(executor => !executor.runs.has(task.id));
    return candidates.reduce<Executor | undefined>(
        (best, candidate) => (best === undefined || isBetter(task, candidate, best, room) ? candidate : best),
        undefined,
    );
};

const countOfStep = (step: OpenStep, executor: Executor, planned: readonly PlannedMember[] | undefined): number =>
    [...executor.runs.values()].filter(run => run.task.step === step).length +
    (planned ?? []).filter(member => member.executor === executor).length;

const isBetter = (task: Task, left: Executor, right: Executor, room: Room): boolean => {
    const difference = penalty(task, left) - penalty(task, right);
    // Among equals the fullest, so that others stay empty for large tasks and for maintenance.
    return difference < 0 || (difference === 0 && (room.get(left)?.cpu ?? 0) < (room.get(right)?.cpu ?? 0));
};

const FAR_PENALTY = 4;
const FAILED_PENALTY = 8;
const INTERFERENCE_PENALTY = 2;

const penalty = (task: Task, executor: Executor): number => {
    const { step } = task.step;
    const far = step.dataRack !== undefined && executor.rack !== step.dataRack ? FAR_PENALTY : 0;
    const failed = task.failedOn.has(executor.id) ? FAILED_PENALTY : 0;
    return far + failed + interference(step, executor);
};

// Tasks that fill slow down tasks with users of their own on the same executor.
const interference = (step: Step, executor: Executor): number => {
    const others = [...executor.runs.values()].map(run => run.task.step.step);
    if (step.backfill) {
        return INTERFERENCE_PENALTY * others.filter(({ latencyTargetMs }) => latencyTargetMs !== undefined).length;
    }
    return step.latencyTargetMs === undefined
        ? 0
        : INTERFERENCE_PENALTY * others.filter(({ backfill }) => backfill).length;
};

const nextRun = (tables: PoolTables): number => {
    tables.runCounter++;
    return tables.token * RUNS_PER_TOKEN + tables.runCounter;
};

const enterRun = (
    tables: PoolTables,
    task: Task,
    executor: Executor,
    number: number,
    room: Room,
    nowMs: number,
): Run => {
    const run: Run = {
        task,
        number,
        executor,
        phase: "starting",
        startedAtMs: nowMs,
        resumedFrom: task.checkpoint,
        confirmedAtMs: undefined,
        percent: 0,
        atWorkSinceMs: undefined,
        recentLoad: undefined,
        pace: 100,
        stopCause: undefined,
        stopSentAtMs: undefined,
    };
    task.runs.push(run);
    executor.runs.set(task.id, run);
    room.set(executor, subtract(room.get(executor) ?? executor.record.capacity, demandOf(task.step.step)));
    const { job } = task.step;
    job.started = true;
    if (job.state === "queued") {
        job.state = "running";
    }
    return run;
};

const hasRoom = ({ cpu, memoryMb, gpu }: Resources): boolean => cpu >= 0 && memoryMb >= 0 && gpu >= 0;

const subtract = (from: Resources, demand: Resources): Resources => ({
    cpu: from.cpu - demand.cpu,
    memoryMb: from.memoryMb - demand.memoryMb,
    gpu: from.gpu - demand.gpu,
});

const fits = (demand: Resources, free: Resources): boolean =>
    demand.cpu <= free.cpu && demand.memoryMb <= free.memoryMb && demand.gpu <= free.gpu;
