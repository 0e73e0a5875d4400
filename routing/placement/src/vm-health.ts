import type { VmId } from "@almondusher/fleet/ids";
import { addDecayed, type DecayedCount, decayedValue } from "./decay.js";

/** How one attempt on a VM ended. */
export interface AttemptOutcome {
    readonly vm: VmId;
    /** Fingerprint of the request: route, method and path. */
    readonly job: string;
    /** Time in milliseconds. */
    readonly at: number;
    readonly result: "success" | "failure" | "cancelled";
    /** Time to the first byte of the answer in milliseconds; only that of successes is learned. */
    readonly latencyMs: number;
}

/** Recent outcomes of one VM. */
interface VmHealthRow {
    readonly successes: DecayedCount | undefined;
    /** Failures by job; the oldest are dropped beyond a limit. */
    readonly failures: ReadonlyMap<string, DecayedCount>;
    /** Decayed mean latency of successes; absent before the first. */
    readonly latencyMs: number | undefined;
}

interface JobOnVm {
    readonly successes: DecayedCount | undefined;
    readonly failures: DecayedCount | undefined;
}

/** Recent outcomes of a job that has failed, by VM. */
interface JobRow {
    readonly vms: ReadonlyMap<VmId, JobOnVm>;
}

/** Recent outcomes of all VMs that a process sends to. */
export interface VmHealth {
    readonly vms: Map<VmId, VmHealthRow>;
    /** Only jobs that failed recently. */
    readonly jobs: Map<string, JobRow>;
}

const HALF_LIFE_MS = 10_000;
// Successes that a VM without history is credited with, so that one failure does not exclude it.
const PRIOR_SUCCESSES = 4;
// A VM that fails half of its requests gets an eighth of the weight.
const WEIGHT_EXPONENT = 3;
// Keeps a failing VM selectable when all others are full, and lets it prove itself again.
const MIN_WEIGHT = 0.01;
const LATENCY_SHARE = 0.1;
const MAX_JOBS = 1_024;
const MAX_JOBS_PER_VM = 32;
const MAX_VMS_PER_JOB = 16;
const NEGLIGIBLE = 0.05;

/** Creates an empty table. */
export const createVmHealth = (): VmHealth => ({ vms: new Map(), jobs: new Map() });

/** Records one attempt; a cancellation counts against nobody. */
export const recordOutcome = (health: VmHealth, outcome: AttemptOutcome): void => {
    if (outcome.result === "cancelled") {
        return;
    }
    health.vms.set(outcome.vm, nextVmRow(health.vms.get(outcome.vm), outcome));
    const job = health.jobs.get(outcome.job);
    if (job !== undefined || outcome.result === "failure") {
        // Setting a row anew keeps the map in the order of the last failure or success.
        health.jobs.delete(outcome.job);
        health.jobs.set(outcome.job, nextJobRow(job, outcome));
        dropOldest(health.jobs, MAX_JOBS);
    }
};

/** Share of recent attempts that failed through the fault of the VM, 0 to 1. */
export const vmFailureRate = (health: VmHealth, vm: VmId, now: number): number => {
    const row = health.vms.get(vm);
    if (row === undefined || row.failures.size === 0) {
        return 0;
    }
    const blamed = blamedFailures(health, vm, row, now);
    const successes = row.successes === undefined ? 0 : decayedValue(row.successes, now, HALF_LIFE_MS);
    return blamed / (blamed + successes + PRIOR_SUCCESSES);
};

/** Weight of a VM in the choice, from its failure rate: 1 is healthy. */
export const vmWeight = (health: VmHealth, vm: VmId, now: number): number =>
    Math.max(MIN_WEIGHT, (1 - vmFailureRate(health, vm, now)) ** WEIGHT_EXPONENT);

/** Learned latency of successes on a VM in milliseconds. */
export const vmLatency = (health: VmHealth, vm: VmId): number | undefined => health.vms.get(vm)?.latencyMs;

/** Recent failures blamed on the VM; a measure of how much evidence there is. */
export const vmFailures = (health: VmHealth, vm: VmId, now: number): number => {
    const row = health.vms.get(vm);
    return row === undefined ? 0 : blamedFailures(health, vm, row, now);
};

/** Forgets a VM that has left, was rebooted or has returned after probing. */
export const forgetVm = (health: VmHealth, vm: VmId): void => {
    health.vms.delete(vm);
};

/** Share of the VMs other than the given one on which the job fails, and how many of them have tried it. */
const jobFailureElsewhere = (health: VmHealth, job: string, vm: VmId, now: number): JobElsewhere => {
    const shares = [...(health.jobs.get(job)?.vms ?? [])]
        .filter(([other]) => other !== vm)
        .map(([, counts]) => failureShare(counts, now))
        .filter(share => share !== undefined);
    return {
        vms: shares.length,
        share: shares.length === 0 ? 0 : shares.reduce((sum, share) => sum + share, 0) / shares.length,
    };
};

/** How a job fares on other VMs. */
interface JobElsewhere {
    readonly vms: number;
    readonly share: number;
}

const nextVmRow = (row: VmHealthRow | undefined, outcome: AttemptOutcome): VmHealthRow => {
    const failures = row?.failures ?? new Map<string, DecayedCount>();
    if (outcome.result === "success") {
        return {
            successes: addDecayed(row?.successes, 1, outcome.at, HALF_LIFE_MS),
            failures,
            latencyMs: nextLatency(row?.latencyMs, outcome.latencyMs),
        };
    }
    const changed = new Map(failures);
    changed.delete(outcome.job);
    changed.set(outcome.job, addDecayed(failures.get(outcome.job), 1, outcome.at, HALF_LIFE_MS));
    dropOldest(changed, MAX_JOBS_PER_VM);
    return { successes: row?.successes, failures: changed, latencyMs: row?.latencyMs };
};

const nextLatency = (known: number | undefined, latencyMs: number): number =>
    known === undefined ? latencyMs : known + LATENCY_SHARE * (latencyMs - known);

const nextJobRow = (row: JobRow | undefined, outcome: AttemptOutcome): JobRow => {
    const vms = new Map(row?.vms);
    const known = vms.get(outcome.vm);
    const count = (of: DecayedCount | undefined): DecayedCount => addDecayed(of, 1, outcome.at, HALF_LIFE_MS);
    vms.delete(outcome.vm);
    vms.set(
        outcome.vm,
        outcome.result === "success"
            ? { successes: count(known?.successes), failures: known?.failures }
            : { successes: known?.successes, failures: count(known?.failures) },
    );
    dropOldest(vms, MAX_VMS_PER_JOB);
    return { vms };
};

// Maps keep the order of insertion, and rows are inserted anew when they change.
const dropOldest = <Key, Row>(rows: Map<Key, Row>, limit: number): void => {
    if (rows.size > limit) {
        const [oldest] = rows.keys();
        rows.delete(oldest as Key);
    }
};

const failureShare = (counts: JobOnVm, now: number): number | undefined => {
    const failures = counts.failures === undefined ? 0 : decayedValue(counts.failures, now, HALF_LIFE_MS);
    const successes = counts.successes === undefined ? 0 : decayedValue(counts.successes, now, HALF_LIFE_MS);
    return failures + successes < NEGLIGIBLE ? undefined : failures / (failures + successes);
};

// A job that fails on other VMs too takes the blame, but the less the more other jobs fail on this VM.
const blamedFailures = (health: VmHealth, vm: VmId, row: VmHealthRow, now: number): number => {
    const recent = [...row.failures]
        .map(([job, count]) => ({ job, failures: decayedValue(count, now, HALF_LIFE_MS) }))
        .filter(({ failures }) => failures >= NEGLIGIBLE);
    return recent.reduce((sum, { job, failures }) => {
        const elsewhere = jobFailureElsewhere(health, job, vm, now);
        return sum + failures * (1 - elsewhere.share / recent.length);
    }, 0);
};
