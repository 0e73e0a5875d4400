import type { DataCentreName, VmId } from "@almondusher/fleet/ids";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A VM that can be chosen for the request. */
export interface VmCandidate {
    readonly vm: VmId;
    readonly dataCentre: DataCentreName;
    /** Concurrent requests that this process may have in flight on the VM. */
    readonly slots: number;
    /** Requests of this process in flight on the VM. */
    readonly inFlight: number;
    /** Weight of the VM by its health, up to 1 for a healthy VM. */
    readonly weight: number;
    /** Mean latency in milliseconds; undefined before the first success. */
    readonly latencyMs: number | undefined;
    /** The VM was ejected and now accepts one probe request at a time. */
    readonly probing?: boolean;
}

export interface ChooseVmOptions {
    readonly candidates: readonly VmCandidate[];
    /** The caller's data centre. */
    readonly dataCentre: DataCentreName;
    /** VMs on which this request was already attempted. */
    readonly attemptedVms?: ReadonlySet<VmId>;
    /** True if the request can probe an ejected VM, because it can be retried on another one. */
    readonly mayProbe?: boolean;
    readonly random: RandomGenerator;
}

// Limits the penalty for latency: a VM whose mean latency is high because of longer requests must still be chosen.
const MAX_LATENCY_FACTOR = 2;

// One in twenty idempotent requests is a probe, so that an ejected VM returns to service within seconds at any
// significant load.
const REQUESTS_PER_PROBE = 20;

/**
 * Chooses the better of two random VMs with free slots on which the request was not attempted yet. If an ejected VM
 * accepts a probe, one in `REQUESTS_PER_PROBE` requests that may probe goes to it instead, and every one if no other VM
 * is available. Undefined if no VM can be chosen.
 */
export const chooseVm = (options: ChooseVmOptions): VmId | undefined => {
    const { candidates, dataCentre, attemptedVms, mayProbe = false, random } = options;
    const available = candidates.filter(candidate => isFree(candidate) && attemptedVms?.has(candidate.vm) !== true);
    const serving = available.filter(({ probing }) => probing !== true);
    const probe = mayProbe ? available.find(({ probing }) => probing === true) : undefined;
    if (probe !== undefined && (serving.length === 0 || uniformInt(random, 1, REQUESTS_PER_PROBE) === 1)) {
        return probe.vm;
    }
    const [first] = serving;
    if (first === undefined || serving.length === 1) {
        return first?.vm;
    }
    const firstIndex = uniformInt(random, 0, serving.length - 1);
    const offset = uniformInt(random, 1, serving.length - 1);
    const left = serving[firstIndex] ?? first;
    const right = serving[(firstIndex + offset) % serving.length] ?? first;
    return lowerCost(left, right, dataCentre).vm;
};

const isFree = ({ slots, inFlight, probing }: VmCandidate): boolean =>
    inFlight < slots && (probing !== true || inFlight === 0);

const lowerCost = (left: VmCandidate, right: VmCandidate, dataCentre: DataCentreName): VmCandidate => {
    const leftCost = relativeCost(left, right);
    const rightCost = relativeCost(right, left);
    if (Math.min(leftCost, rightCost) * COST_TOLERANCE_FACTOR >= Math.max(leftCost, rightCost)) {
        return right.dataCentre === dataCentre && left.dataCentre !== dataCentre ? right : left;
    }
    return leftCost < rightCost ? left : right;
};

// Costs within this factor are treated as equal, since measured latencies of equal VMs differ by some percent.
const COST_TOLERANCE_FACTOR = 1.1;

const relativeCost = (candidate: VmCandidate, other: VmCandidate): number =>
    ((candidate.inFlight + 1) / candidate.slots / candidate.weight) * latencyFactor(candidate, other);

const latencyFactor = ({ latencyMs }: VmCandidate, other: VmCandidate): number => {
    if (latencyMs === undefined || other.latencyMs === undefined || other.latencyMs <= 0) {
        return 1;
    }
    return Math.min(MAX_LATENCY_FACTOR, Math.max(1, latencyMs / other.latencyMs));
};
