/** What placement knows of a VM; health is refreshed every tick, as decaying it for each request would cost more. */
export interface VmStanding {
    readonly weight: number;
    readonly latencyMs: number | undefined;
}
