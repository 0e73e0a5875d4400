import type { FleetError } from "@almondusher/fleet/fleet-error";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { initialPlannerState } from "@almondusher/planner/planner-state";
import { type HeldLease, type Lease, readLease, renewLease, takeLease } from "@almondusher/platform/manager-lease";
import { observeLease } from "@almondusher/platform/observe-lease";
import { logEvent } from "@almondusher/telemetry/logger";
import type { ManagerContext } from "./manager-context.js";

/** Renews the lease, or watches it and takes it over once its holder no longer renews it; undefined for a standby. */
export const holdLease = async (manager: ManagerContext): Promise<HeldLease | undefined> => {
    const { role } = manager.tables;
    switch (role.kind) {
        case "active":
            return renew(manager, role.lease);
        case "standby":
            return watch(manager);
    }
};

const renew = async (manager: ManagerContext, lease: HeldLease): Promise<HeldLease | undefined> => {
    try {
        const renewed = await renewLease(manager.platform, { lease });
        manager.tables.role = { kind: "active", lease: renewed };
        return renewed;
    } catch (error) {
        if (hasCode(error, "lease-lost")) {
            loseLease(manager, lease, error);
            return undefined;
        }
        throw error;
    }
};

/** Stands by after another process has taken the lease over. */
export const loseLease = (manager: ManagerContext, lease: Lease, error: FleetError): void => {
    manager.tables.role = { kind: "standby", observation: undefined };
    logEvent(manager.logger, { kind: "lease-lost", epoch: lease.epoch, reason: error.message });
};

const watch = async (manager: ManagerContext): Promise<HeldLease | undefined> => {
    const { role } = manager.tables;
    const readStartMs = performance.now();
    const lease = await readLease(manager.platform);
    const observation = observeLease({
        previous: role.kind === "standby" ? role.observation : undefined,
        lease,
        readStartMs,
        readEndMs: performance.now(),
        leaseDurationMs: manager.settings.timing.leaseDurationMs,
    });
    manager.tables.role = { kind: "standby", observation };
    return observation.isExpired ? take(manager, lease) : undefined;
};

const take = async (manager: ManagerContext, previous: Lease | undefined): Promise<HeldLease | undefined> => {
    try {
        const lease = await takeLease(manager.platform, { holder: manager.processId, previous });
        manager.tables.role = { kind: "active", lease };
        // What an earlier term confirmed may have changed since.
        manager.tables.plannerState = initialPlannerState;
        manager.tables.confirmations.clear();
        logEvent(manager.logger, { kind: "lease-taken", epoch: lease.epoch });
        return lease;
    } catch (error) {
        if (hasCode(error, "lease-lost")) {
            return undefined;
        }
        throw error;
    }
};
