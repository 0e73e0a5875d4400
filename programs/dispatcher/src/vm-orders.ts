import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { VmClient, VmOrderLimits, VmOrderResult } from "@almondusher/platform-adapter/vm-client";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { MAX_ORDER_DELAY_MS } from "./vm-order-limits.js";

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
    /**
     * Returns the time limit of an order that is sent now, in milliseconds; 0 while the process must send none, because its
     * lease was not renewed for too long.
     */
    readonly timeoutMs: () => number;
    /** False once the lease is lost. */
    readonly isActive: () => boolean;
    /** False while the VM service answers no calls. */
    readonly isServiceAnswering: () => boolean;
    /** Pause before an order is sent again, in milliseconds. */
    readonly retryDelayMs: number;
}

/**
 * Sends an order, and repeats it while its outcome is unknown or the platform is overloaded, until the lease is lost. While
 * `timeoutMs` returns 0, it waits, also if an order already waits for a connection. Orders are idempotent. An order for a busy
 * VM is repeated while an earlier attempt may still be carried out, and is refused afterwards. While the service answers no
 * calls, nothing is sent, and the order is refused once no earlier attempt may be carried out.
 */
export const sendOrder = async ({
    context,
    client,
    vm,
    order,
    timeoutMs,
    isActive,
    isServiceAnswering,
    retryDelayMs,
}: SendOrderOptions): Promise<OrderOutcome> => {
    let unansweredAtMs = Number.NEGATIVE_INFINITY;
    const mayTakeEffect = (): boolean => context.monotonicMs() - unansweredAtMs < MAX_ORDER_DELAY_MS;
    while (isActive()) {
        if (!isServiceAnswering() && !mayTakeEffect()) {
            return "refused";
        }
        const limitMs = isServiceAnswering() ? timeoutMs() : 0;
        if (limitMs <= 0) {
            await sleep(retryDelayMs);
            continue;
        }
        // The process may have been suspended since the lease was checked.
        const mayStart = (): boolean => isActive() && timeoutMs() > 0;
        const result = await send(client, vm, order.purpose, { timeoutMs: limitMs, mayStart });
        context.metrics.count(`vm_orders_${order.purpose.kind}`);
        context.log("vm-order", { vm, ...order.purpose, outcome: result });
        if (result.kind === "unknown") {
            unansweredAtMs = context.monotonicMs();
        }
        const outcome = outcomeOf(result, order.purpose);
        const isBusy = result.kind === "rejected" && result.reason === "busy";
        if (outcome !== undefined && !(isBusy && mayTakeEffect())) {
            return outcome;
        }
        await sleep(retryDelayMs);
    }
    return "given-up";
};

const send = (client: VmClient, vm: VmId, purpose: OrderPurpose, limits: VmOrderLimits): Promise<VmOrderResult> => {
    switch (purpose.kind) {
        case "maintenance":
            return client.maintain(vm, purpose.wave, limits);
        case "move":
            return client.move(vm, purpose.to, limits);
    }
};

const outcomeOf = (result: VmOrderResult, purpose: OrderPurpose): OrderOutcome | undefined => {
    switch (result.kind) {
        case "done":
            return "confirmed";
        case "not-sent":
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
