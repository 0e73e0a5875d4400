import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { VmClient, VmOrderLimits, VmOrderResult } from "@almondusher/platform-adapter/vm-client";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { MAX_ORDER_DELAY_MS } from "./vm-order-limits.js";

export type OrderPurpose =
    { readonly kind: "maintenance"; readonly wave: number } | { readonly kind: "move"; readonly to: PoolName };

/** An order for a VM; once confirmed, it is kept until the VM is back in service. */
export interface VmOrder {
    readonly purpose: OrderPurpose;
    readonly sentAtMs: number;
    /** Monotonic time at which the platform confirmed the order; undefined until then. */
    confirmedAtMs: number | undefined;
    /** False while no further attempt is made, since only the end of an earlier one is waited for. */
    isAttempted: boolean;
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
 * Time in which an order is repeated that the platform rejects as overloaded or does not answer, in milliseconds. The time
 * in which it waits for a connection is not part of it.
 */
const MAX_ATTEMPTS_MS = 5000;

/**
 * Sends an order, and repeats it while its outcome is unknown or the platform is overloaded, for `MAX_ATTEMPTS_MS` at most
 * and until the lease is lost. While `timeoutMs` returns 0, it waits, also if an order already waits for a connection.
 * Orders are idempotent. An order that is rejected otherwise, for instance because the VM is busy, is repeated while an
 * earlier attempt may still be carried out, and is refused afterwards. While the service answers no calls, and after the
 * time for attempts, nothing is sent, and the order is refused once no earlier attempt may be carried out.
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
    const beganAtMs = context.monotonicMs();
    let waitedMs = 0;
    // The repetitions of a rejected order end with the time of an earlier attempt.
    let isRejected = false;
    const hasTimeLeft = (): boolean => isRejected || context.monotonicMs() - beganAtMs - waitedMs < MAX_ATTEMPTS_MS;
    while (isActive()) {
        const maySend = isServiceAnswering() && hasTimeLeft();
        order.isAttempted = maySend;
        if (!maySend && !mayTakeEffect()) {
            return "refused";
        }
        const limitMs = maySend ? timeoutMs() : 0;
        if (limitMs <= 0) {
            await sleep(retryDelayMs);
            continue;
        }
        // The process may have been suspended since the lease was checked.
        const calledAtMs = context.monotonicMs();
        let writtenAtMs: number | undefined;
        const mayStart = (): boolean => {
            const may = isActive() && timeoutMs() > 0;
            writtenAtMs = may ? context.monotonicMs() : undefined;
            return may;
        };
        const result = await send(client, vm, order.purpose, { timeoutMs: limitMs, mayStart });
        context.metrics.count(`vm_orders_${order.purpose.kind}`);
        context.log("vm-order", { vm, ...order.purpose, outcome: result });
        if (result.kind === "unknown") {
            unansweredAtMs = context.monotonicMs();
        }
        waitedMs += waitOf(result, calledAtMs, writtenAtMs ?? calledAtMs, context.monotonicMs());
        const outcome = outcomeOf(result, order.purpose);
        isRejected = outcome === "refused";
        if (outcome !== undefined && !(isRejected && mayTakeEffect())) {
            return outcome;
        }
        await sleep(retryDelayMs);
    }
    return "given-up";
};

// Orders that wait for each other's connections end as not sent, or are written long after the call.
const waitOf = (result: VmOrderResult, calledAtMs: number, writtenAtMs: number, endedAtMs: number): number =>
    (result.kind === "not-sent" ? endedAtMs : writtenAtMs) - calledAtMs;

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
