import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import type { StatusReport } from "@almondusher/telemetry/status-report";
import type { ManagerContext } from "./manager-context.js";

const isUnderMaintenance = ({ phase }: Assignment): boolean =>
    phase.kind === "maintenance" || (phase.kind === "draining" && phase.purpose.kind === "maintenance");

const describeWaits = ({ tables }: ManagerContext, subject: string): readonly string[] =>
    tables.lastDecisions.flatMap(decision =>
        decision.kind === "waiting" && decision.subject === subject
            ? decision.names.map(name => `${decision.on} ${name}`)
            : [],
    );

const reportDrains = (manager: ManagerContext): StatusReport["drains"] =>
    manager.tables.state.assignments.rows
        .filter(row => row.phase.kind === "draining")
        .map(row => ({ vm: row.vm, pool: row.pool, waitingFor: [...describeWaits(manager, row.vm)] }));

const reportWave = (
    manager: ManagerContext,
    pool: PoolName,
    rows: readonly Assignment[],
): StatusReport["waves"][number] => {
    const { maintenancePeriodMs, waveRequestedAtMs } = manager.settings.planner;
    const since = waveRequestedAtMs ?? Date.now() - maintenancePeriodMs;
    const waits = describeWaits(manager, pool);
    return {
        pool,
        done: rows.filter(row => (row.maintainedAtMs ?? 0) >= since).length,
        total: rows.length,
        underWay: rows.filter(isUnderMaintenance).map(row => row.vm),
        ...(waits.length === 0 ? {} : { waitingFor: waits.join(", ") }),
    };
};

const reportWaves = (manager: ManagerContext): StatusReport["waves"] => {
    const { rows } = manager.tables.state.assignments;
    const pools = new Set(rows.filter(isUnderMaintenance).map(row => row.pool));
    return [...pools].map(pool =>
        reportWave(
            manager,
            pool,
            rows.filter(row => row.pool === pool),
        ),
    );
};

/** Status report of the manager: drains with what they wait for, and maintenance waves. */
export const managerStatus = (manager: ManagerContext): StatusReport => ({
    program: "almondusher-manager",
    processId: manager.processId,
    vm: manager.settings.vmId,
    revision: manager.tables.state.revision,
    ready: !manager.tables.stopping,
    leading: manager.tables.role.kind === "active",
    drains: reportDrains(manager),
    waves: reportWaves(manager),
});
