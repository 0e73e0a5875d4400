import type { DataCentreName, RackName, VmId } from "@almondusher/fleet/ids";

/** Location and recent failures of a serving VM. */
export interface EjectionCandidate {
    readonly vm: VmId;
    readonly rack: RackName;
    readonly dataCentre: DataCentreName;
    /** Share of recent attempts whose failure is attributed to the VM. */
    readonly failureRate: number;
    /** Number of recent failures attributed to the VM, with decay. */
    readonly failures: number;
}

/** An ejected VM; it receives no requests until its backoff has expired, and then one probe request at a time. */
interface EjectionRow {
    readonly vm: VmId;
    /** Time in milliseconds at which probing starts. */
    readonly until: number;
    readonly backOffMs: number;
    readonly phase: "ejected" | "probing";
    readonly probeSuccesses: number;
}

/** The ejected VMs of a pool. */
export type Ejections = ReadonlyMap<VmId, EjectionRow>;

export interface EjectionSettings {
    /** Maximum share of a pool that is ejected for failures of individual VMs. */
    readonly maxEjectedShare: number;
    readonly firstBackOffMs: number;
    readonly maxBackOffMs: number;
}

export interface EjectionOptions {
    readonly ejections: Ejections;
    /** All serving VMs of the pool. */
    readonly candidates: readonly EjectionCandidate[];
    /** Time in milliseconds. */
    readonly now: number;
    readonly settings?: EjectionSettings;
}

/** Defaults: at most a quarter of a pool, backoff of 5 s to 5 min. */
export const defaultEjectionSettings: EjectionSettings = {
    maxEjectedShare: 0.25,
    firstBackOffMs: 5_000,
    maxBackOffMs: 5 * 60_000,
};

const MIN_FAILURE_RATE = 0.5;
// With fewer failures, there is not enough evidence to eject a VM.
const MIN_FAILURES = 4;
const REQUIRED_PROBE_SUCCESSES = 3;
// If a larger share of the pool fails, no VM is ejected, because the rest could not carry the load.
const MAX_FAILING_SHARE = 0.5;
// A single failing VM is no evidence of a failed rack or data centre. Two VMs can fail together by chance, so a domain
// counts as failed only if all of its VMs fail.
const MIN_DOMAIN_VMS = 2;

/** Ejects failing VMs up to the limit, and starts probing VMs whose backoff has expired. */
export const updateEjections = (options: EjectionOptions): Ejections => {
    const { candidates, now, settings = defaultEjectionSettings } = options;
    const known = new Set(candidates.map(({ vm }) => vm));
    const kept = [...options.ejections.values()]
        .filter(row => known.has(row.vm))
        .map(row => (row.phase === "ejected" && now >= row.until ? { ...row, phase: "probing" as const } : row));
    const next = new Map(kept.map(row => [row.vm, row]));
    selectVmsToEject(candidates, next, settings).forEach(({ vm }) =>
        next.set(vm, ejectedRow(vm, settings.firstBackOffMs, now)),
    );
    return next;
};

export interface ProbeOutcome {
    readonly ejections: Ejections;
    readonly vm: VmId;
    readonly success: boolean;
    readonly now: number;
    readonly settings?: EjectionSettings;
}

/**
 * Records the outcome of a probe request. A failure ejects the VM again with a doubled backoff; after
 * `REQUIRED_PROBE_SUCCESSES` successes, the VM is removed from the ejections. The caller must then clear its health, or
 * its earlier failures would eject it again.
 */
export const recordProbe = (outcome: ProbeOutcome): Ejections => {
    const { ejections, vm, success, now, settings = defaultEjectionSettings } = outcome;
    const row = ejections.get(vm);
    if (row?.phase !== "probing") {
        return ejections;
    }
    const next = new Map(ejections);
    if (!success) {
        next.set(vm, ejectedRow(vm, Math.min(settings.maxBackOffMs, row.backOffMs * 2), now));
    } else if (row.probeSuccesses + 1 >= REQUIRED_PROBE_SUCCESSES) {
        next.delete(vm);
    } else {
        next.set(vm, { ...row, probeSuccesses: row.probeSuccesses + 1 });
    }
    return next;
};

const ejectedRow = (vm: VmId, backOffMs: number, now: number): EjectionRow => ({
    vm,
    until: now + backOffMs,
    backOffMs,
    phase: "ejected",
    probeSuccesses: 0,
});

const isFailing = ({ failureRate, failures }: EjectionCandidate): boolean =>
    failureRate >= MIN_FAILURE_RATE && failures >= MIN_FAILURES;

const selectVmsToEject = (
    candidates: readonly EjectionCandidate[],
    ejections: Ejections,
    settings: EjectionSettings,
): readonly EjectionCandidate[] => {
    const failing = candidates.filter(candidate => isFailing(candidate) || ejections.has(candidate.vm));
    if (failing.length > candidates.length * MAX_FAILING_SHARE) {
        // Most of the pool fails, so the cause is not in individual VMs; ejecting them would only overload the rest.
        return [];
    }
    const domain = findFailedDomain(candidates, failing);
    if (domain !== undefined) {
        return domain.filter(({ vm }) => !ejections.has(vm));
    }
    const remainingEjections = Math.floor(candidates.length * settings.maxEjectedShare) - ejections.size;
    return failing
        .filter(({ vm }) => !ejections.has(vm))
        .sort((left, right) => right.failureRate - left.failureRate)
        .slice(0, Math.max(0, remainingEjections));
};

// Returns the VMs of the largest data centre or rack in which all VMs fail, if the pool has VMs outside of it.
const findFailedDomain = (
    candidates: readonly EjectionCandidate[],
    failing: readonly EjectionCandidate[],
): readonly EjectionCandidate[] | undefined => {
    const failingVms = new Set(failing.map(({ vm }) => vm));
    const domains = [
        ...groupCandidates(candidates, ({ dataCentre }) => dataCentre),
        ...groupCandidates(candidates, ({ rack }) => rack),
    ];
    return domains
        .filter(vms => vms.length >= MIN_DOMAIN_VMS && vms.length < candidates.length)
        .filter(vms => vms.every(({ vm }) => failingVms.has(vm)))
        .sort((left, right) => right.length - left.length)[0];
};

const groupCandidates = (
    candidates: readonly EjectionCandidate[],
    keyOf: (candidate: EjectionCandidate) => string,
): readonly (readonly EjectionCandidate[])[] =>
    [...new Set(candidates.map(keyOf))].map(key => candidates.filter(candidate => keyOf(candidate) === key));
