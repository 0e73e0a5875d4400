import type { DataCentreName, VmId } from "@almondusher/fleet/ids";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A VM that may receive the request. */
export interface VmCandidate {
    readonly vm: VmId;
    readonly dataCentre: DataCentreName;
    /** Slots of the VM that this process may use. */
    readonly slots: number;
    /** Requests of this process in flight on the VM. */
    readonly inFlight: number;
    /** Weight from its health; 1 is healthy. */
    readonly weight: number;
    /** Learned latency in milliseconds; absent before the first success. */
    readonly latencyMs: number | undefined;
    /** The VM was ejected and takes one probe at a time. */
    readonly probing?: boolean;
}

export interface ChooseVmOptions {
    readonly candidates: readonly VmCandidate[];
    /** The caller's data centre. */
    readonly dataCentre: DataCentreName;
    /** VMs that already tried this request. */
    readonly tried?: ReadonlySet<VmId>;
    /** The request may be the probe of an ejected VM, because it may run again elsewhere. */
    readonly mayProbe?: boolean;
    readonly random: RandomGenerator;
}

// A slow VM is avoided, but one learned from longer work must not be shut out.
const MAX_LATENCY_FACTOR = 2;

// One in twenty idempotent requests probes, so that a VM returns within seconds at any useful load.
const PROBE_ONE_IN = 20;

/** Chooses between two random VMs with free slots; undefined if no slot is free. */
export const chooseVm = (options: ChooseVmOptions): VmId | undefined => {
    const { candidates, dataCentre, tried, mayProbe = false, random } = options;
    const free = candidates.filter(candidate => isFree(candidate) && tried?.has(candidate.vm) !== true);
    const serving = free.filter(({ probing }) => probing !== true);
    const probe = mayProbe ? free.find(({ probing }) => probing === true) : undefined;
    if (probe !== undefined && (serving.length === 0 || uniformInt(random, 1, PROBE_ONE_IN) === 1)) {
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
    return better(left, right, dataCentre).vm;
};

const isFree = ({ slots, inFlight, probing }: VmCandidate): boolean =>
    inFlight < slots && (probing !== true || inFlight === 0);

const better = (left: VmCandidate, right: VmCandidate, dataCentre: DataCentreName): VmCandidate => {
    const leftCost = cost(left, right);
    const rightCost = cost(right, left);
    if (Math.min(leftCost, rightCost) * EQUAL_COST_FACTOR >= Math.max(leftCost, rightCost)) {
        return right.dataCentre === dataCentre && left.dataCentre !== dataCentre ? right : left;
    }
    return leftCost < rightCost ? left : right;
};

// Costs this close are equal; learned latencies alone differ by some percent.
const EQUAL_COST_FACTOR = 1.1;

const cost = (candidate: VmCandidate, other: VmCandidate): number =>
    ((candidate.inFlight + 1) / candidate.slots / candidate.weight) * latencyFactor(candidate, other);

const latencyFactor = ({ latencyMs }: VmCandidate, other: VmCandidate): number => {
    if (latencyMs === undefined || other.latencyMs === undefined || other.latencyMs <= 0) {
        return 1;
    }
    return Math.min(MAX_LATENCY_FACTOR, Math.max(1, latencyMs / other.latencyMs));
};
