import type { DataCentreName, RackName, VmId } from "@almondusher/fleet/ids";

/** What the ejection of a pool needs to know of one of its VMs. */
export interface EjectionCandidate {
    readonly vm: VmId;
    readonly rack: RackName;
    readonly dataCentre: DataCentreName;
    /** Share of recent attempts that failed through the fault of the VM. */
    readonly failureRate: number;
    /** Recent failures blamed on the VM. */
    readonly failures: number;
}

/** An ejected VM; it gets no work until the back-off has passed and then single probes. */
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
    /** Largest share of a pool that is ejected for causes of single VMs. */
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

/** Defaults: a quarter of a pool, 5 s to 5 min. */
export const defaultEjectionSettings: EjectionSettings = {
    maxEjectedShare: 0.25,
    firstBackOffMs: 5_000,
    maxBackOffMs: 5 * 60_000,
};

const EJECT_FAILURE_RATE = 0.5;
// Evidence below this is too little to take a VM away.
const MIN_FAILURES = 4;
const PROBES_TO_RETURN = 3;
// The rest of the pool must be able to carry the load of a failed domain.
const MAX_DOMAIN_SHARE = 0.5;
// Two VMs of a domain failing together can be chance; a domain is larger than that or is all there is of it.
const MIN_DOMAIN_VMS = 2;

/** Ejects failing VMs within the cap and lets those whose back-off has passed be probed. */
export const updateEjections = (options: EjectionOptions): Ejections => {
    const { candidates, now, settings = defaultEjectionSettings } = options;
    const known = new Set(candidates.map(({ vm }) => vm));
    const kept = [...options.ejections.values()]
        .filter(row => known.has(row.vm))
        .map(row => (row.phase === "ejected" && now >= row.until ? { ...row, phase: "probing" as const } : row));
    const next = new Map(kept.map(row => [row.vm, row]));
    selectFailing(candidates, next, settings).forEach(({ vm }) =>
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
 * Records the outcome of a request on a probed VM: it backs off longer, or is removed from the ejections after
 * several successes; its health is then to be forgotten, or its old failures would eject it again.
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
    } else if (row.probeSuccesses + 1 >= PROBES_TO_RETURN) {
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
    failureRate >= EJECT_FAILURE_RATE && failures >= MIN_FAILURES;

const selectFailing = (
    candidates: readonly EjectionCandidate[],
    ejections: Ejections,
    settings: EjectionSettings,
): readonly EjectionCandidate[] => {
    const failing = candidates.filter(candidate => isFailing(candidate) || ejections.has(candidate.vm));
    if (failing.length > candidates.length * MAX_DOMAIN_SHARE) {
        // Most of the pool fails: the cause lies outside single VMs, and taking them away only overloads the rest.
        return [];
    }
    const domain = failedDomain(candidates, failing);
    if (domain !== undefined) {
        return domain.filter(({ vm }) => !ejections.has(vm));
    }
    const room = Math.floor(candidates.length * settings.maxEjectedShare) - ejections.size;
    return failing
        .filter(({ vm }) => !ejections.has(vm))
        .sort((left, right) => right.failureRate - left.failureRate)
        .slice(0, Math.max(0, room));
};

// The largest data centre or rack all of whose VMs fail, if there are VMs outside of it.
const failedDomain = (
    candidates: readonly EjectionCandidate[],
    failing: readonly EjectionCandidate[],
): readonly EjectionCandidate[] | undefined => {
    const failingVms = new Set(failing.map(({ vm }) => vm));
    const domains = [...groups(candidates, ({ dataCentre }) => dataCentre), ...groups(candidates, ({ rack }) => rack)];
    return domains
        .filter(vms => vms.length >= MIN_DOMAIN_VMS && vms.length < candidates.length)
        .filter(vms => vms.every(({ vm }) => failingVms.has(vm)))
        .sort((left, right) => right.length - left.length)[0];
};

const groups = (
    candidates: readonly EjectionCandidate[],
    keyOf: (candidate: EjectionCandidate) => string,
): readonly (readonly EjectionCandidate[])[] =>
    [...new Set(candidates.map(keyOf))].map(key => candidates.filter(candidate => keyOf(candidate) === key));
