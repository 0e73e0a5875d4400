/** Load of a pool on this entry. */
export interface PoolLoad {
    /** Number of requests in the admission queue. */
    readonly waiting: number;
    /** Number of VMs with a request in flight. */
    readonly vmsInUse: number;
    /** Number of running long requests; the grantor keeps a guaranteed slot for each of them. */
    readonly longRunning: number;
}

export interface ReportPeriodOptions {
    readonly current: PoolLoad;
    /** Load sent in the last report. */
    readonly lastReported: PoolLoad;
    readonly grantTtlMs: number;
}

/** Minimum time between two reports of a pool; applies while requests wait and after a long request has ended. */
export const MIN_REPORT_PERIOD_MS = 50;
// Applies while requests run and until the end of the load is reported: the grantor has to know which slots are in use
// before it grants them to other members.
const BUSY_REPORT_PERIOD_MS = 500;
// Number of reports of an idle pool within the lifetime of its grant; more than one, so that the grant survives a lost
// report.
const REPORTS_PER_GRANT_TTL = 3;

/** Returns the time between two reports of a pool to its grantor, in milliseconds. */
export const reportPeriodMs = ({ current, lastReported, grantTtlMs }: ReportPeriodOptions): number => {
    // Reports the end of a long request soon: until then, the grantor keeps the request's guaranteed slot, and requests
    // waiting at other entries cannot use it.
    if (current.waiting > 0 || current.longRunning < lastReported.longRunning) {
        return MIN_REPORT_PERIOD_MS;
    }
    const isBusy = current.vmsInUse > 0 || lastReported.vmsInUse > 0 || lastReported.waiting > 0;
    return isBusy ? BUSY_REPORT_PERIOD_MS : grantTtlMs / REPORTS_PER_GRANT_TTL;
};
