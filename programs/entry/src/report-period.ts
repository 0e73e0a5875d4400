/** Work of a pool on this entry. */
export interface PoolWork {
    /** Requests that wait for a slot. */
    readonly waiting: number;
    /** VMs with a request in flight. */
    readonly vmsInUse: number;
    /** Long requests that run; the grantor keeps a guaranteed slot for each of them. */
    readonly longRunning: number;
}

export interface ReportPeriodOptions {
    readonly now: PoolWork;
    /** What the last report told. */
    readonly reported: PoolWork;
    readonly grantTtlMs: number;
}

/** A request that waits is reported at once, but not more often than this for each pool. */
export const DEMAND_REPORT_MS = 50;
// The grantor must know which slots are in use before it gives them to others.
const BUSY_REPORT_MS = 500;
// A quiet pool is reported this often within the lifetime of its grant, so that one lost report does not end it.
const REPORTS_PER_LIFETIME = 3;

/** Time between two reports of a pool to its grantor, in milliseconds. */
export const reportPeriodMs = ({ now, reported, grantTtlMs }: ReportPeriodOptions): number => {
    // Until its end is reported, a long request keeps a guaranteed slot from those that wait at other entries.
    if (now.waiting > 0 || now.longRunning < reported.longRunning) {
        return DEMAND_REPORT_MS;
    }
    const isBusy = now.vmsInUse > 0 || reported.vmsInUse > 0 || reported.waiting > 0;
    return isBusy ? BUSY_REPORT_MS : grantTtlMs / REPORTS_PER_LIFETIME;
};
