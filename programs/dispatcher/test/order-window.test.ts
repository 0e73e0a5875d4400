import assert from "node:assert/strict";
import { test } from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { ExecutorId } from "@almondusher/jobs/ids";
import type { OrderResult } from "@almondusher/platform-adapter/executor-client";
import { createOrderWindow, type OrderWindow } from "../src/executors/order-window.js";

const TIMEOUT_MS = 350;
const MAX_SIZE = 600;
const ROUND_TRIP_MS = 10;
const PASS_INTERVAL_MS = 10;

/** A simulated path to the executors that carries one order after another. */
interface SimulatedPath {
    /** Time that the path needs for each order, in milliseconds. */
    readonly serviceMs: number;
    /** True for an executor that answers no orders. */
    readonly isSilent: (executor: number) => boolean;
}

interface SimulatedOrder {
    readonly executor: number;
    readonly sentAtMs: number;
    readonly endsAtMs: number;
    readonly answered: boolean;
    readonly finish: (result: OrderResult) => void;
}

interface Simulation {
    readonly window: OrderWindow;
    readonly outstanding: () => number;
    /**
     * Sends orders to the executors in turn until the duration has passed, in every pass as many as the window and the
     * limit allow; returns the outcomes of the orders that have ended.
     */
    readonly run: (load: SimulatedLoad) => Promise<readonly SimulatedOrder[]>;
    /** Lets time pass in which the process handles nothing. */
    readonly stall: (durationMs: number) => void;
}

interface SimulatedLoad {
    readonly path: SimulatedPath;
    readonly executors: readonly number[];
    /** Number of orders to send. */
    readonly orders: number;
    readonly durationMs: number;
}

const idOf = (executor: number): ExecutorId => toId<ExecutorId>(`i-${executor}`);
const range = (count: number, from = 0): readonly number[] =>
    Array.from({ length: count }, (unused, index) => from + index);

const simulate = (): Simulation => {
    let nowMs = 0;
    let pathFreeAtMs = 0;
    let waiting: readonly SimulatedOrder[] = [];
    const window = createOrderWindow({ monotonicMs: () => nowMs, timeoutMs: TIMEOUT_MS, maxSize: () => MAX_SIZE });
    const send = (executor: number, { serviceMs, isSilent }: SimulatedPath): void => {
        pathFreeAtMs = Math.max(nowMs, pathFreeAtMs) + serviceMs;
        const answerAtMs = pathFreeAtMs + ROUND_TRIP_MS;
        const answered = !isSilent(executor) && answerAtMs - nowMs <= TIMEOUT_MS;
        void window.track(
            idOf(executor),
            () =>
                new Promise(finish => {
                    const endsAtMs = answered ? answerAtMs : nowMs + TIMEOUT_MS;
                    waiting = [...waiting, { executor, sentAtMs: nowMs, endsAtMs, answered, finish }];
                }),
        );
    };
    const finishDue = async (): Promise<readonly SimulatedOrder[]> => {
        const due = waiting.filter(({ endsAtMs }) => endsAtMs <= nowMs);
        waiting = waiting.filter(({ endsAtMs }) => endsAtMs > nowMs);
        due.forEach(({ answered, finish }) =>
            finish(
                answered
                    ? { kind: "accepted", clockMs: undefined, startedAtMs: undefined }
                    : { kind: "unknown", reason: "timeout" },
            ),
        );
        await new Promise(resolve => setImmediate(resolve));
        return due;
    };
    const run = async ({ path, executors, orders, durationMs }: SimulatedLoad): Promise<readonly SimulatedOrder[]> => {
        const ended: SimulatedOrder[] = [];
        let sent = 0;
        for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            ended.push(...(await finishDue()));
            if (nowMs % PASS_INTERVAL_MS === 0) {
                const budget = window.createBudget();
                const selected = range(Math.min(orders - sent, executors.length))
                    .map(offset => executors[(sent + offset) % executors.length] ?? 0)
                    .filter(executor => {
                        const allowed = budget.allows(idOf(executor));
                        if (allowed) {
                            budget.spend(idOf(executor));
                        }
                        return allowed;
                    });
                sent += selected.length;
                selected.forEach(executor => send(executor, path));
            }
        }
        return ended;
    };
    return { window, outstanding: () => waiting.length, run, stall: durationMs => (nowMs += durationMs) };
};

const RESPONSIVE = (): boolean => false;
const EXECUTORS = 100;

test("a burst beyond the capacity of the path is sent without timeouts, in about the time that the path needs", async () => {
    const ORDERS = 800;
    const SERVICE_MS = 5;
    const NEEDED_MS = ORDERS * SERVICE_MS;
    const ended = await simulate().run({
        path: { serviceMs: SERVICE_MS, isSilent: RESPONSIVE },
        executors: range(EXECUTORS),
        orders: ORDERS,
        durationMs: NEEDED_MS * 1.25,
    });
    const answered = ended.filter(order => order.answered);
    assert.equal(answered.length, ORDERS, `${ended.length - answered.length} timeouts, ${ended.length} ended`);
});

test("orders resume at the rate of the path after it was too slow for a while", async () => {
    const ORDERS = 5000;
    const SERVICE_MS = 5;
    const simulation = simulate();
    const load = { executors: range(EXECUTORS), orders: ORDERS };
    await simulation.run({ ...load, path: { serviceMs: 1, isSilent: RESPONSIVE }, durationMs: 2000 });
    await simulation.run({ ...load, path: { serviceMs: 50, isSilent: RESPONSIVE }, durationMs: 2000 });
    // What waits on the path when it recovers has to be carried first.
    await simulation.run({
        ...load,
        path: { serviceMs: SERVICE_MS, isSilent: RESPONSIVE },
        durationMs: 20_000,
        orders: 0,
    });
    const ended = await simulation.run({
        ...load,
        path: { serviceMs: SERVICE_MS, isSilent: RESPONSIVE },
        durationMs: 4000,
    });
    const answered = ended.filter(order => order.answered).length;
    assert.ok(answered >= (0.8 * 4000) / SERVICE_MS, `${answered} answered`);
});

test("executors that answer nothing do not close the window for the others", async () => {
    const SILENT = 30;
    const simulation = simulate();
    const path = { serviceMs: 0.5, isSilent: (executor: number) => executor < SILENT };
    await simulation.run({
        path: { ...path, isSilent: RESPONSIVE },
        executors: range(EXECUTORS),
        orders: 2000,
        durationMs: 2000,
    });
    const before = simulation.window.size();
    await simulation.run({ path, executors: range(EXECUTORS), orders: 10_000, durationMs: 5000 });
    assert.ok(simulation.window.size() >= before, `${before}, then ${simulation.window.size()}`);
});

test("orders to silent executors leave most of a small window to the others", async () => {
    const simulation = simulate();
    const path = { serviceMs: 0.5, isSilent: () => true };
    await simulation.run({ path, executors: range(EXECUTORS), orders: 1000, durationMs: 6000 });
    const budget = simulation.window.createBudget();
    range(EXECUTORS)
        .map(idOf)
        .filter(executor => budget.allows(executor))
        .forEach(executor => budget.spend(executor));
    assert.ok(simulation.outstanding() <= simulation.window.size() / 4, `${simulation.outstanding()} outstanding`);
    assert.ok(budget.allows(idOf(EXECUTORS)), "an executor that was not asked yet");
});

test("the window stays within its bounds, and does not grow while few orders are sent", async () => {
    const simulation = simulate();
    const path = { serviceMs: 0.1, isSilent: RESPONSIVE };
    const before = simulation.window.size();
    await simulation.run({ path, executors: range(2), orders: 1000, durationMs: 2000 });
    assert.equal(simulation.window.size(), before);
    await simulation.run({ path, executors: range(EXECUTORS), orders: 100_000, durationMs: 3000 });
    assert.ok(simulation.window.size() > before && simulation.window.size() <= MAX_SIZE);
    await simulation.run({
        path: { ...path, isSilent: () => true },
        executors: range(EXECUTORS),
        orders: 100_000,
        durationMs: 10_000,
    });
    assert.ok(simulation.window.size() >= 1);
});

test("after several stalls of the process the window soon grows to half its size again, not order by order", async () => {
    const STALLS = 4;
    const STALL_MS = 300;
    const simulation = simulate();
    const load = { path: { serviceMs: 0.1, isSilent: RESPONSIVE }, executors: range(EXECUTORS), orders: 10_000 };
    await simulation.run({ ...load, durationMs: 500 });
    const before = simulation.window.size();
    for (let stalls = 0; stalls < STALLS; stalls++) {
        await simulation.run({ ...load, durationMs: PASS_INTERVAL_MS });
        simulation.stall(STALL_MS);
    }
    await simulation.run({ ...load, durationMs: PASS_INTERVAL_MS });
    assert.ok(simulation.window.size() <= before / 4, `${simulation.window.size()} of ${before} after the stalls`);
    await simulation.run({ ...load, durationMs: 500 });
    assert.ok(simulation.window.size() >= before / 2, `${simulation.window.size()} of ${before} later`);
});
