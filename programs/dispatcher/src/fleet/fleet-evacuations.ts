import type { VmId } from "@almondusher/fleet/ids";
import { EVACUATION_WINDOW_MS } from "@almondusher/scheduler/demand";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { HeldLease } from "../leases/held-lease.js";
import type { LeaseContent } from "../leases/lease-rows.js";
import { MAX_ORDER_DELAY_MS } from "./vm-order-limits.js";
import type { OrderPurpose } from "./vm-orders.js";

/** A request of the fleet manager to the schedulers to evacuate a VM. */
export interface FleetEvacuation {
    readonly id: string;
    /** Time on the store's clock by which tasks that can continue elsewhere must have left the VM, in milliseconds. */
    readonly byMs: number;
    readonly purpose: OrderPurpose["kind"];
    /** Stored before the order for the VM is sent, so that the next fleet manager knows that it may still arrive. */
    ordered: boolean;
    /**
     * Time on the store's clock from which an order of an earlier fleet manager has no effect any more, in milliseconds;
     * undefined if this one may have sent an order.
     */
    orderedUntilMs: number | undefined;
}

/** The VMs that the fleet manager has evacuated, including those of its predecessor. */
export interface FleetEvacuations {
    readonly entries: ReadonlyMap<VmId, FleetEvacuation>;
    readonly add: (vm: VmId, purpose: FleetEvacuation["purpose"]) => FleetEvacuation;
    /** Notes that an order for the VM of an evacuation is going to be sent. */
    readonly markOrdered: (evacuation: FleetEvacuation) => void;
    /** VMs whose tasks that can continue elsewhere still have time to leave. */
    readonly withTimeToEmpty: () => readonly VmId[];
    /** Returns false if the VM was not being evacuated. */
    readonly remove: (vm: VmId) => boolean;
    /**
     * VMs on which an order sent by the previous fleet manager may have had an effect that a list of VMs does not show, or may
     * still have one. `listedAtMs` is the monotonic time at which the list was requested, in milliseconds.
     */
    readonly withPendingInheritedOrder: (listedAtMs: number) => readonly VmId[];
    /** Content for the fleet lease. */
    readonly stored: () => LeaseContent["evacuations"];
}

type InheritedEvacuation = LeaseContent["evacuations"][number];

// Two processes know the store's clock to within the time that its responses take.
const STORE_CLOCK_MARGIN_MS = 500;

export interface FleetEvacuationsOptions {
    readonly context: Pick<DispatcherContext, "monotonicMs"> & {
        readonly store: Pick<DispatcherContext["store"], "nowMs">;
    };
    readonly lease: Pick<HeldLease, "epoch" | "predecessor">;
}

/**
 * Starts with the evacuations of the previous fleet manager. Those with an order stay for a while even if no wave needs
 * them any more, since the order may still arrive, and until a later list shows what it has done.
 */
export const createFleetEvacuations = ({ context, lease }: FleetEvacuationsOptions): FleetEvacuations => {
    const takenOverAtMs = context.monotonicMs();
    const takenOverStoreMs = context.store.nowMs();
    // The predecessor may have waited for orders of those before it, whose time does not begin anew.
    const inheritedUntilMs = ({ ordered, orderedUntilMs }: InheritedEvacuation): number | undefined =>
        ordered
            ? Math.min(orderedUntilMs ?? Infinity, takenOverStoreMs + MAX_ORDER_DELAY_MS + STORE_CLOCK_MARGIN_MS)
            : undefined;
    const entries = new Map<VmId, FleetEvacuation>(
        (lease.predecessor?.evacuations ?? []).map(inherited => [
            inherited.vm,
            {
                id: inherited.id,
                byMs: inherited.byMs,
                ordered: inherited.ordered,
                orderedUntilMs: inheritedUntilMs(inherited),
                purpose: "maintenance",
            },
        ]),
    );
    const inheritedOrders = new Map(
        [...entries].flatMap(([vm, { orderedUntilMs }]) =>
            orderedUntilMs === undefined
                ? []
                : [[vm, takenOverAtMs + Math.min(orderedUntilMs - takenOverStoreMs, MAX_ORDER_DELAY_MS)] as const],
        ),
    );
    let counter = 0;
    return {
        entries,
        add: (vm, purpose) => {
            counter++;
            const evacuation: FleetEvacuation = {
                id: `${lease.epoch}-${counter}`,
                byMs: context.store.nowMs() + EVACUATION_WINDOW_MS,
                purpose,
                ordered: false,
                orderedUntilMs: undefined,
            };
            entries.set(vm, evacuation);
            return evacuation;
        },
        markOrdered: evacuation => {
            evacuation.ordered = true;
            evacuation.orderedUntilMs = undefined;
        },
        withTimeToEmpty: () => {
            const nowMs = context.store.nowMs();
            return [...entries].filter(([, { byMs }]) => byMs > nowMs).map(([vm]) => vm);
        },
        remove: vm => entries.delete(vm),
        withPendingInheritedOrder: listedAtMs =>
            [...inheritedOrders].filter(([vm, untilMs]) => listedAtMs < untilMs && entries.has(vm)).map(([vm]) => vm),
        stored: () =>
            [...entries].map(([vm, { id, byMs, ordered, orderedUntilMs }]) => ({
                vm,
                id,
                byMs,
                ordered,
                orderedUntilMs,
            })),
    };
};
