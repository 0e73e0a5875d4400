import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { VmClient, VmOrderResult } from "@almondusher/platform-adapter/vm-client";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";

export type OrderPurpose =
    { readonly kind: "maintenance"; readonly wave: number } | { readonly kind: "move"; readonly to: PoolName };

/** An order for a VM; once confirmed, it is kept until the VM is back in service. */
export interface VmOrder {
    readonly purpose: OrderPurpose;
    readonly sentAtMs: number;
    /** Monotonic time at which the platform confirmed the order; undefined until then. */
    confirmedAtMs: number | undefined;
}

export type OrderOutcome = "confirmed" | "refused" | "fenced" | "unneeded" | "given-up";

export interface SendOrderOptions {
    readonly context: DispatcherContext;
    readonly client: VmClient;
    readonly vm: VmId;
    readonly order: VmOrder;
    /** False while the process must send no orders, because its lease was not renewed for too long. */
    readonly mayAct: () => boolean;
    /** False once the lease is lost. */
    readonly isActive: () => boolean;
    /** Pause before an order is sent again, in milliseconds. */
    readonly retryDelayMs: number;
}

/**
 * Sends an order, and repeats it while its outcome is unknown or the platform is overloaded, until the lease is lost. While
 * `mayAct` returns false, it waits. Orders are idempotent.
 */
export const sendOrder = async ({
    context,
    client,
    vm,
    order,
    mayAct,
    isActive,
    retryDelayMs,
}: SendOrderOptions): Promise<OrderOutcome> => {
    while (isActive()) {
        if (!mayAct()) {
            await sleep(retryDelayMs);
            continue;
        }
        const result = await send(client, vm, order.purpose);
        context.metrics.count(`vm_orders_${order.purpose.kind}`);
        context.log("vm-order", { vm, ...order.purpose, outcome: result });
        const outcome = outcomeOf(result, order.purpose);
        if (outcome !== undefined) {
            return outcome;
        }
        await sleep(retryDelayMs);
    }
    return "given-up";
};

const send = (client: VmClient, vm: VmId, purpose: OrderPurpose): Promise<VmOrderResult> => {
    switch (purpose.kind) {
        case "maintenance":
            return client.maintain(vm, purpose.wave);
        case "move":
            return client.move(vm, purpose.to);
    }
};

const outcomeOf = (result: VmOrderResult, purpose: OrderPurpose): OrderOutcome | undefined => {
    switch (result.kind) {
        case "done":
            return "confirmed";
        case "unknown":
            return undefined;
        case "rejected":
            return outcomeOfRejection(result.reason, purpose);
    }
};

const outcomeOfRejection = (
    reason: Extract<VmOrderResult, { kind: "rejected" }>["reason"],
    purpose: OrderPurpose,
): OrderOutcome | undefined => {
    switch (reason) {
        case "overloaded":
            return undefined;
        case "fenced":
            return "fenced";
        case "busy":
            return "refused";
        case "other-wave":
        case "invalid":
            // Only a confirmed maintenance, or lists that lack the VM, complete its part of a wave.
            return purpose.kind === "maintenance" ? "refused" : "unneeded";
    }
};
