/**
 * Health of a VM as placement uses it. Computed at most once a tick: the outcomes of earlier attempts count less as they
 * age, and recomputing the weight for each request would cost more.
 */
export interface VmHealthSnapshot {
    readonly weight: number;
    readonly latencyMs: number | undefined;
}
