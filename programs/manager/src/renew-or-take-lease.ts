import type { FleetError } from "@almondusher/fleet/fleet-error";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { initialPlannerState } from "@almondusher/planner/planner-state";
import { type HeldLease, type Lease, readLease, renewLease, takeLease } from "@almondusher/platform/manager-lease";
import { observeLease } from "@almondusher/platform/observe-lease";
import { logEvent } from "@almondusher/telemetry/logger";
import type { ManagerContext } from "./manager-context.js";

/**
 * Renews the lease if this process holds it, otherwise observes it and takes it once it has expired or was released.
 * Returns undefined while the process is a standby.
 */
export const renewOrTakeLease = async (manager: ManagerContext): Promise<HeldLease | undefined> => {
    const { role } = manager.tables;
    switch (role.kind) {
        case "active":
            return renewHeldLease(manager, role.lease);
        case "standby":
            return observeAsStandby(manager);
    }
};

const renewHeldLease = async (manager: ManagerContext, lease: HeldLease): Promise<HeldLease | undefined> => {
    try {
        const renewed = await renewLease(manager.platform, { lease });
        manager.tables.role = { kind: "active", lease: renewed };
        return renewed;
    } catch (error) {
        if (hasCode(error, "lease-lost")) {
            stepDown(manager, lease, error);
            return undefined;
        }
        throw error;
    }
};

/** Makes this process a standby after another process has taken the lease. */
export const stepDown = (manager: ManagerContext, lease: Lease, error: FleetError): void => {
    manager.tables.role = { kind: "standby", observation: undefined };
    logEvent(manager.logger, { kind: "lease-lost", epoch: lease.epoch, reason: error.message });
};

const observeAsStandby = async (manager: ManagerContext): Promise<HeldLease | undefined> => {
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
    return observation.isExpired ? tryTakeLease(manager, lease) : undefined;
};

const tryTakeLease = async (manager: ManagerContext, previous: Lease | undefined): Promise<HeldLease | undefined> => {
    try {
        const lease = await takeLease(manager.platform, { holder: manager.processId, previous });
        manager.tables.role = { kind: "active", lease };
        // Planner state and confirmations of an earlier epoch may be out of date.
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
