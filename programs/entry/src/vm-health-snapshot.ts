/** Health of a VM as placement uses it; computed once a tick, because decaying it for each request would cost more. */
export interface VmHealthSnapshot {
    readonly weight: number;
    readonly latencyMs: number | undefined;
}
