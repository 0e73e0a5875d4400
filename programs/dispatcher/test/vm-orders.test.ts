import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type PoolName, type VmId } from "@almondusher/fleet/ids";
import type { VmClient, VmOrderResult } from "@almondusher/platform-adapter/vm-client";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { sendOrder, type OrderOutcome, type OrderPurpose } from "../src/fleet/vm-orders.js";

const outcomeOf = (purpose: OrderPurpose, ...results: readonly VmOrderResult[]): Promise<OrderOutcome> => {
    const remaining = [...results];
    const answer = (): Promise<VmOrderResult> => Promise.resolve(remaining.shift() ?? { kind: "done" });
    return sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        client: { move: answer, maintain: answer } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => 1000,
        isServiceAnswering: () => true,
        isActive: () => remaining.length > 0,
        retryDelayMs: 1,
    });
};

/** Time for which an order that was not answered may still be carried out, in milliseconds. */
const LATE_ORDER_MS = 13_000;

const MAINTENANCE: OrderPurpose = { kind: "maintenance", wave: 1 };
const MOVE: OrderPurpose = { kind: "move", to: toId<PoolName>("pool-a") };

test("a rejected maintenance is not taken for one that is not needed", async () => {
    for (const reason of ["busy", "other-wave", "invalid"] as const) {
        assert.equal(await outcomeOf(MAINTENANCE, { kind: "rejected", reason }), "refused", reason);
    }
    assert.equal(await outcomeOf(MAINTENANCE, { kind: "done" }), "confirmed");
});

test("an order without a readable answer is repeated, and a move that the platform cannot make is dropped", async () => {
    const unknown = { kind: "unknown", reason: "status 500" } as const;
    assert.equal(
        await outcomeOf(MAINTENANCE, unknown, { kind: "rejected", reason: "overloaded" }, { kind: "done" }),
        "confirmed",
    );
    assert.equal(await outcomeOf(MOVE, { kind: "rejected", reason: "invalid" }), "unneeded");
});

test("an order whose outcome is unknown is sent again once an overdue lease renewal has succeeded", async () => {
    const renewals = [true, false, false, true];
    let sent = 0;
    const outcome = await sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        client: {
            maintain: () => {
                sent++;
                return Promise.resolve(sent === 1 ? { kind: "unknown", reason: "no answer" } : { kind: "done" });
            },
        } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose: MAINTENANCE, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => ((renewals.shift() ?? true) ? 1000 : 0),
        isServiceAnswering: () => true,
        isActive: () => true,
        retryDelayMs: 1,
    });
    assert.equal(outcome, "confirmed");
    assert.equal(sent, 2);
});

// The evacuation of a VM may be dropped once its order is refused. The attempt without an answer would then end the runs that
// the pool has started since.
test("an order is not given up as refused while an earlier attempt may still be carried out", async () => {
    const results: VmOrderResult[] = [
        { kind: "unknown", reason: "no answer" },
        { kind: "rejected", reason: "busy" },
        { kind: "rejected", reason: "busy" },
        { kind: "rejected", reason: "busy" },
    ];
    const times = [0, LATE_ORDER_MS - 1, LATE_ORDER_MS, LATE_ORDER_MS + 1];
    let sent = 0;
    const outcome = await sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => times[Math.max(0, sent - 1)] ?? 0,
        } as unknown as DispatcherContext,
        client: {
            move: () => Promise.resolve(results[sent++] ?? { kind: "done" }),
        } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose: MOVE, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => 1000,
        isServiceAnswering: () => true,
        isActive: () => true,
        retryDelayMs: 1,
    });
    assert.equal(outcome, "refused");
    assert.equal(sent, 3, "attempts until the first one cannot be carried out any more");
});

/** Sends a maintenance order to a service that falls silent after these results; the clock advances with each check. */
const outcomeInSilence = async (
    results: readonly VmOrderResult[],
    checkIntervalMs: number,
): Promise<{ readonly outcome: OrderOutcome; readonly sent: number; readonly endedAtMs: number }> => {
    let nowMs = 0;
    let sent = 0;
    const outcome = await sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => nowMs,
        } as unknown as DispatcherContext,
        client: {
            maintain: () => Promise.resolve(results[sent++] ?? { kind: "done" }),
        } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose: MAINTENANCE, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => 1000,
        isActive: () => {
            nowMs += checkIntervalMs;
            return true;
        },
        isServiceAnswering: () => sent < results.length,
        retryDelayMs: 1,
    });
    return { outcome, sent, endedAtMs: nowMs };
};

// Its VM would be out of use for as long as the service is silent.
test("an order that a silent service has not received is given up at once, and another once it cannot arrive any more", async () => {
    const notSent = await outcomeInSilence([{ kind: "not-sent", reason: "no connection" }], 1);
    assert.deepEqual({ outcome: notSent.outcome, sent: notSent.sent }, { outcome: "refused", sent: 1 });
    assert.ok(notSent.endedAtMs < LATE_ORDER_MS);
    const unknown = await outcomeInSilence([{ kind: "unknown", reason: "no answer" }], 500);
    assert.deepEqual({ outcome: unknown.outcome, sent: unknown.sent }, { outcome: "refused", sent: 1 });
    assert.ok(unknown.endedAtMs >= LATE_ORDER_MS);
});

// The VM stays evacuated until its order has an outcome, so its pool lacks it for as long as the service is overloaded.
test("an order that the service rejects as overloaded for long is given up, although it answers lists", async () => {
    let nowMs = 0;
    const outcome = await sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => nowMs,
        } as unknown as DispatcherContext,
        client: {
            maintain: () => Promise.resolve({ kind: "rejected", reason: "overloaded" }),
        } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose: MAINTENANCE, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => 1000,
        isActive: () => {
            nowMs += 500;
            return nowMs < 60_000;
        },
        isServiceAnswering: () => true,
        retryDelayMs: 1,
    });
    assert.equal(outcome, "refused");
});

interface Attempt {
    readonly result: VmOrderResult;
    /** Time in which the order waits for a connection, and then for its result, in milliseconds. */
    readonly waitMs: number;
    readonly answerMs: number;
}

/** Sends a maintenance order to a service that answers lists; the clock advances with the attempts and the pauses. */
const outcomeOfAttempts = async (
    attempt: (index: number) => Attempt,
): Promise<{ readonly outcome: OrderOutcome; readonly sentAtMs: readonly number[]; readonly endedAtMs: number }> => {
    let nowMs = 0;
    let calls = 0;
    const sentAtMs: number[] = [];
    const outcome = await sendOrder({
        context: {
            metrics: { count: () => undefined },
            log: () => undefined,
            monotonicMs: () => nowMs,
        } as unknown as DispatcherContext,
        client: {
            maintain: (vm: VmId, wave: number, { mayStart }: { readonly mayStart: () => boolean }) => {
                const { result, waitMs, answerMs } = attempt(calls++);
                nowMs += waitMs;
                if (result.kind !== "not-sent" && mayStart()) {
                    sentAtMs.push(nowMs);
                }
                nowMs += answerMs;
                return Promise.resolve(result);
            },
        } as unknown as VmClient,
        vm: toId<VmId>("vm-1"),
        order: { purpose: MAINTENANCE, sentAtMs: 0, confirmedAtMs: undefined, isAttempted: true },
        timeoutMs: () => 1000,
        isActive: () => {
            nowMs += 200;
            return nowMs < 120_000;
        },
        isServiceAnswering: () => true,
        retryDelayMs: 1,
    });
    return { outcome, sentAtMs, endedAtMs: nowMs };
};

test("an order that gets no answer each time is over once its last attempt cannot be carried out any more", async () => {
    const { outcome, sentAtMs, endedAtMs } = await outcomeOfAttempts(() => ({
        result: { kind: "unknown", reason: "no answer" },
        waitMs: 0,
        answerMs: 1000,
    }));
    assert.equal(outcome, "refused");
    const lastSentAtMs = sentAtMs.at(-1) ?? Infinity;
    assert.ok(sentAtMs.length > 1 && lastSentAtMs < 10_000, `attempts at ${sentAtMs.join(", ")} ms`);
    assert.ok(endedAtMs >= lastSentAtMs + LATE_ORDER_MS, `ended at ${endedAtMs} ms`);
    assert.ok(endedAtMs < lastSentAtMs + 2 * LATE_ORDER_MS, `ended at ${endedAtMs} ms`);
});

test("an order succeeds after a short overload, and after a long wait for a connection", async () => {
    const overloaded: VmOrderResult = { kind: "rejected", reason: "overloaded" };
    const done: VmOrderResult = { kind: "done" };
    const short = await outcomeOfAttempts(index => ({
        result: index < 8 ? overloaded : done,
        waitMs: 0,
        answerMs: 5,
    }));
    assert.equal(short.outcome, "confirmed");
    const unsent = await outcomeOfAttempts(index => ({
        result: index < 8 ? { kind: "not-sent", reason: "no connection" } : done,
        waitMs: 1000,
        answerMs: 0,
    }));
    assert.equal(unsent.outcome, "confirmed");
    const behindOthers = await outcomeOfAttempts(index => ({
        result: index < 8 ? overloaded : done,
        waitMs: 900,
        answerMs: 5,
    }));
    assert.equal(behindOthers.outcome, "confirmed");
});

test("an order that never gets a connection is given up, although the service answers lists", async () => {
    const { outcome, sentAtMs } = await outcomeOfAttempts(() => ({
        result: { kind: "not-sent", reason: "no connection" },
        waitMs: 1000,
        answerMs: 0,
    }));
    assert.equal(outcome, "refused");
    assert.deepEqual(sentAtMs, []);
});
