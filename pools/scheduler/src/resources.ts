import type { Resources, Step } from "@almondusher/jobs/job";
import type { Executor } from "./pool-tables.js";

/** Free resources of the executors that may get starts. */
export type FreeByExecutor = Map<Executor, Resources>;

/** Resources that a task reserves on its executor. Backfill tasks reserve no CPU. */
export const demandOf = ({ demand, backfill }: Step): Resources => (backfill ? { ...demand, cpu: 0 } : demand);

/** Capacity of an executor minus the demand of all runs that are or may be present. */
export const freeResources = ({ record, runs }: Executor): Resources =>
    [...runs.values()].reduce((free, run) => subtract(free, demandOf(run.task.step.step)), record.capacity);

/** True if a demand is at most what is free. */
export const fits = (demand: Resources, free: Resources): boolean =>
    demand.cpu <= free.cpu && demand.memoryMb <= free.memoryMb && demand.gpu <= free.gpu;

/** False if the runs of an executor demand more than its capacity. */
export const isNotOvercommitted = ({ cpu, memoryMb, gpu }: Resources): boolean => cpu >= 0 && memoryMb >= 0 && gpu >= 0;

/** What is left of the resources after a demand. */
export const subtract = (from: Resources, demand: Resources): Resources => ({
    cpu: from.cpu - demand.cpu,
    memoryMb: from.memoryMb - demand.memoryMb,
    gpu: from.gpu - demand.gpu,
});

/** The sum of two amounts. */
export const add = (left: Resources, right: Resources): Resources => ({
    cpu: left.cpu + right.cpu,
    memoryMb: left.memoryMb + right.memoryMb,
    gpu: left.gpu + right.gpu,
});

/** The resources with 0 for each that is negative. */
export const withoutDeficit = ({ cpu, memoryMb, gpu }: Resources): Resources => ({
    cpu: Math.max(0, cpu),
    memoryMb: Math.max(0, memoryMb),
    gpu: Math.max(0, gpu),
});

/** The largest amount of each resource; different executors may have them. */
export const maxOfEach = (all: readonly Resources[]): Resources =>
    all.reduce((largest, { cpu, memoryMb, gpu }) => ({
        cpu: Math.max(largest.cpu, cpu),
        memoryMb: Math.max(largest.memoryMb, memoryMb),
        gpu: Math.max(largest.gpu, gpu),
    }));
