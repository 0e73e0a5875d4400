import type { VmId } from "@almondusher/fleet/ids";
import type { VmClient } from "@almondusher/platform-adapter/vm-client";
import type { MaintenanceOrder } from "@almondusher/upkeep/maintenance";
import type { Move } from "@almondusher/upkeep/moves";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { FleetEvacuations } from "./fleet-evacuations.js";
import type { HeldLease } from "../leases/held-lease.js";
import type { LeaseManager } from "../leases/lease-manager.js";
import { sendOrder, type OrderOutcome, type OrderPurpose, type SendOrderOptions, type VmOrder } from "./vm-orders.js";

/** Orders for VMs that were sent and are not over, and the VMs that get none for a while. */
export interface FleetOrders {
    readonly entries: ReadonlyMap<VmId, VmOrder>;
    readonly maintenance: () => ReadonlyMap<VmId, MaintenanceOrder>;
    readonly moves: () => readonly Move[];
    /** VMs whose last order was refused a short while ago; they are neither evacuated nor sent an order. */
    readonly postponed: () => ReadonlySet<VmId>;
    /** Renews the lease and sends an order, unless enough others are under way: then it has to be requested again. */
    readonly send: (vm: VmId, purpose: OrderPurpose) => Promise<void>;
    readonly drop: (vm: VmId) => void;
}

export interface FleetOrdersOptions extends Pick<SendOrderOptions, "timeoutMs" | "isActive" | "isServiceAnswering"> {
    readonly context: DispatcherContext;
    readonly lease: HeldLease;
    readonly leases: Pick<LeaseManager, "renew">;
    readonly client: VmClient;
    readonly evacuations: FleetEvacuations;
    /** Monotonic time at which the last list of VMs was requested, in milliseconds. */
    readonly listedAtMs: () => number;
    readonly requestRenewal: () => void;
    /** Called once the platform has confirmed the maintenance of a VM. */
    readonly onMaintained: (vm: VmId, wave: number) => void;
}

const ORDER_RETRY_DELAY_MS = 400;
// A successor waits for each of them, since it may have been sent. Several times the connections of the client, so that a
// renewal of the lease does not keep these idle.
const MAX_ORDERS_UNDER_WAY = 12;
// A VM whose order was refused serves its pool for this long, so that tasks are not stopped there again at once.
const POSTPONEMENT_MS = 5000;

/** Keeps the orders of one fleet manager, which starts without any. */
export const createFleetOrders = (options: FleetOrdersOptions): FleetOrders => {
    const { context, lease, leases, client, evacuations, requestRenewal } = options;
    const { timeoutMs, isActive, isServiceAnswering } = options;
    const entries = new Map<VmId, VmOrder>();
    const postponedUntilMs = new Map<VmId, number>();
    const ordersUnderWay = (): number =>
        [...entries.values()].filter(({ confirmedAtMs, isAttempted }) => confirmedAtMs === undefined && isAttempted)
            .length;
    // An order of the previous fleet manager may still end the tasks of the VM.
    const releaseRefused = (vm: VmId): void => {
        postponedUntilMs.set(vm, context.monotonicMs() + POSTPONEMENT_MS);
        if (!evacuations.withPendingInheritedOrder(options.listedAtMs()).includes(vm) && evacuations.remove(vm)) {
            context.log("vm-order-refused", { vm });
            requestRenewal();
        }
    };
    const applyOutcome = (vm: VmId, order: VmOrder, outcome: OrderOutcome): void => {
        switch (outcome) {
            case "confirmed":
                order.confirmedAtMs = context.monotonicMs();
                // The order has ended the executor on the VM; the next one may get work as soon as it registers.
                evacuations.remove(vm);
                if (order.purpose.kind === "maintenance") {
                    options.onMaintained(vm, order.purpose.wave);
                }
                requestRenewal();
                break;
            case "unneeded":
                entries.delete(vm);
                evacuations.remove(vm);
                break;
            case "fenced":
                requestRenewal();
                entries.delete(vm);
                break;
            case "refused":
                entries.delete(vm);
                releaseRefused(vm);
                break;
            case "given-up":
                break;
        }
    };
    return {
        entries,
        maintenance: () =>
            new Map(
                [...entries].flatMap(([vm, { purpose, sentAtMs, confirmedAtMs }]) =>
                    purpose.kind === "maintenance"
                        ? [[vm, { wave: purpose.wave, sentAtMs, confirmedAtMs }] as const]
                        : [],
                ),
            ),
        moves: () =>
            [...entries].flatMap(([vm, { purpose }]) => (purpose.kind === "move" ? [{ vm, to: purpose.to }] : [])),
        postponed: () => {
            const nowMs = context.monotonicMs();
            [...postponedUntilMs]
                .filter(([, untilMs]) => untilMs <= nowMs)
                .forEach(([vm]) => postponedUntilMs.delete(vm));
            return new Set(postponedUntilMs.keys());
        },
        send: async (vm, purpose) => {
            if (ordersUnderWay() >= MAX_ORDERS_UNDER_WAY) {
                return;
            }
            const order: VmOrder = {
                purpose,
                sentAtMs: context.monotonicMs(),
                confirmedAtMs: undefined,
                isAttempted: true,
            };
            entries.set(vm, order);
            const evacuation = evacuations.entries.get(vm) ?? evacuations.add(vm, purpose.kind);
            evacuations.markOrdered(evacuation);
            if (!(await leases.renew(lease))) {
                // The order was not sent; the next tick plans it again.
                entries.delete(vm);
                return;
            }
            const retryDelayMs = ORDER_RETRY_DELAY_MS;
            applyOutcome(
                vm,
                order,
                await sendOrder({
                    context,
                    client,
                    vm,
                    order,
                    timeoutMs,
                    isActive,
                    isServiceAnswering,
                    retryDelayMs,
                }),
            );
        },
        drop: vm => void entries.delete(vm),
    };
};
