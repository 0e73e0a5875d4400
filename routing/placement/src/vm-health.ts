import type { VmId } from "@almondusher/fleet/ids";
import { addToDecayed, type DecayedCount, decayedValue } from "./decay.js";

/** Outcome of one attempt on a VM. */
export interface AttemptOutcome {
    readonly vm: VmId;
    /** Fingerprint of the request: route, method and path. */
    readonly fingerprint: string;
    /** Time in milliseconds. */
    readonly at: number;
    readonly result: "success" | "failure" | "cancelled";
    /** Time to the first byte of the response in milliseconds; used for successes only. */
    readonly latencyMs: number;
}

/** Recent outcomes of one VM. */
interface VmHealthRow {
    readonly successes: DecayedCount | undefined;
    /** Failures by request fingerprint; the oldest are evicted beyond a limit. */
    readonly failures: ReadonlyMap<string, DecayedCount>;
    /** Moving average of the latency of successes; undefined before the first. */
    readonly latencyMs: number | undefined;
}

interface FingerprintOutcomes {
    readonly successes: DecayedCount | undefined;
    readonly failures: DecayedCount | undefined;
}

/** Recent outcomes, by VM, of a request fingerprint that has failed. */
interface FingerprintRow {
    readonly vms: ReadonlyMap<VmId, FingerprintOutcomes>;
}

/** Recent outcomes of all VMs that a process sends to. */
export interface VmHealth {
    readonly vms: Map<VmId, VmHealthRow>;
    /** Outcomes by request fingerprint, only of fingerprints with a recent failure. */
    readonly jobs: Map<string, FingerprintRow>;
}

const HALF_LIFE_MS = 10_000;
// Successes added to those of each VM, so that the first failure of a VM without history does not exclude it.
const PRIOR_SUCCESSES = 4;
// With exponent 3, a VM that fails half of its requests gets an eighth of the weight.
const WEIGHT_EXPONENT = 3;
// Keeps a failing VM available when all others are full, and lets it show that it has recovered.
const MIN_WEIGHT = 0.01;
const LATENCY_WEIGHT = 0.1;
const MAX_FINGERPRINTS = 1_024;
const MAX_FINGERPRINTS_PER_VM = 32;
const MAX_VMS_PER_FINGERPRINT = 16;
const NEGLIGIBLE_COUNT = 0.05;

/** Creates an empty table. */
export const createVmHealth = (): VmHealth => ({ vms: new Map(), jobs: new Map() });

/** Records the outcome of one attempt; cancellations are ignored. */
export const recordOutcome = (health: VmHealth, outcome: AttemptOutcome): void => {
    if (outcome.result === "cancelled") {
        return;
    }
    health.vms.set(outcome.vm, nextVmRow(health.vms.get(outcome.vm), outcome));
    const fingerprintRow = health.jobs.get(outcome.fingerprint);
    if (fingerprintRow !== undefined || outcome.result === "failure") {
        // Reinserting the row keeps the map in the order of the latest outcome.
        health.jobs.delete(outcome.fingerprint);
        health.jobs.set(outcome.fingerprint, nextFingerprintRow(fingerprintRow, outcome));
        evictOldest(health.jobs, MAX_FINGERPRINTS);
    }
};

/** Share of recent attempts whose failure is attributed to the VM, from 0 to 1. */
export const vmFailureRate = (health: VmHealth, vm: VmId, now: number): number => {
    const row = health.vms.get(vm);
    if (row === undefined || row.failures.size === 0) {
        return 0;
    }
    const attributed = attributedFailures(health, vm, row, now);
    const successes = row.successes === undefined ? 0 : decayedValue(row.successes, now, HALF_LIFE_MS);
    return attributed / (attributed + successes + PRIOR_SUCCESSES);
};

/** Weight of a VM by its failure rate, from MIN_WEIGHT to 1 for a healthy VM. */
export const vmWeight = (health: VmHealth, vm: VmId, now: number): number =>
    Math.max(MIN_WEIGHT, (1 - vmFailureRate(health, vm, now)) ** WEIGHT_EXPONENT);

/** Moving average of the latency of successes on a VM in milliseconds. */
export const vmLatency = (health: VmHealth, vm: VmId): number | undefined => health.vms.get(vm)?.latencyMs;

/** Number of recent failures attributed to the VM, as a measure of the evidence against it. */
export const attributedVmFailures = (health: VmHealth, vm: VmId, now: number): number => {
    const row = health.vms.get(vm);
    return row === undefined ? 0 : attributedFailures(health, vm, row, now);
};

/** Clears the outcomes of a VM that was removed, was rebooted or has returned to service after probing. */
export const clearVmHealth = (health: VmHealth, vm: VmId): void => {
    health.vms.delete(vm);
};

/** Mean failure rate of the fingerprint on the VMs other than the given one, and how many of them have handled it. */
const failuresOnOtherVms = (health: VmHealth, fingerprint: string, vm: VmId, now: number): OtherVmFailures => {
    const rates = [...(health.jobs.get(fingerprint)?.vms ?? [])]
        .filter(([other]) => other !== vm)
        .map(([, counts]) => failureRate(counts, now))
        .filter(rate => rate !== undefined);
    return {
        vms: rates.length,
        rate: rates.length === 0 ? 0 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
    };
};

/** Failures of a request fingerprint on other VMs. */
interface OtherVmFailures {
    readonly vms: number;
    readonly rate: number;
}

const nextVmRow = (row: VmHealthRow | undefined, outcome: AttemptOutcome): VmHealthRow => {
    const failures = row?.failures ?? new Map<string, DecayedCount>();
    if (outcome.result === "success") {
        return {
            successes: addToDecayed(row?.successes, 1, outcome.at, HALF_LIFE_MS),
            failures,
            latencyMs: nextLatency(row?.latencyMs, outcome.latencyMs),
        };
    }
    const changed = new Map(failures);
    changed.delete(outcome.fingerprint);
    changed.set(outcome.fingerprint, addToDecayed(failures.get(outcome.fingerprint), 1, outcome.at, HALF_LIFE_MS));
    evictOldest(changed, MAX_FINGERPRINTS_PER_VM);
    return { successes: row?.successes, failures: changed, latencyMs: row?.latencyMs };
};

const nextLatency = (known: number | undefined, latencyMs: number): number =>
    known === undefined ? latencyMs : known + LATENCY_WEIGHT * (latencyMs - known);

const nextFingerprintRow = (row: FingerprintRow | undefined, outcome: AttemptOutcome): FingerprintRow => {
    const vms = new Map(row?.vms);
    const known = vms.get(outcome.vm);
    const count = (of: DecayedCount | undefined): DecayedCount => addToDecayed(of, 1, outcome.at, HALF_LIFE_MS);
    vms.delete(outcome.vm);
    vms.set(
        outcome.vm,
        outcome.result === "success"
            ? { successes: count(known?.successes), failures: known?.failures }
            : { successes: known?.successes, failures: count(known?.failures) },
    );
    evictOldest(vms, MAX_VMS_PER_FINGERPRINT);
    return { vms };
};

// A map iterates in insertion order, and rows are reinserted when they change, so the first row is the oldest.
const evictOldest = <Key, Row>(rows: Map<Key, Row>, limit: number): void => {
    if (rows.size > limit) {
        const [oldest] = rows.keys();
        rows.delete(oldest as Key);
    }
};

const failureRate = (counts: FingerprintOutcomes, now: number): number | undefined => {
    const failures = counts.failures === undefined ? 0 : decayedValue(counts.failures, now, HALF_LIFE_MS);
    const successes = counts.successes === undefined ? 0 : decayedValue(counts.successes, now, HALF_LIFE_MS);
    return failures + successes < NEGLIGIBLE_COUNT ? undefined : failures / (failures + successes);
};

// A failure counts less if requests with the same fingerprint also fail on other VMs. This discount shrinks with the
// number of different fingerprints that fail on this VM.
const attributedFailures = (health: VmHealth, vm: VmId, row: VmHealthRow, now: number): number => {
    const recent = [...row.failures]
        .map(([fingerprint, count]) => ({ job: fingerprint, failures: decayedValue(count, now, HALF_LIFE_MS) }))
        .filter(({ failures }) => failures >= NEGLIGIBLE_COUNT);
    return recent.reduce((sum, { job: fingerprint, failures }) => {
        const others = failuresOnOtherVms(health, fingerprint, vm, now);
        return sum + failures * (1 - others.rate / recent.length);
    }, 0);
};
