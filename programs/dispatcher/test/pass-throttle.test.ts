import assert from "node:assert/strict";
import { test } from "node:test";
import { createPassThrottle } from "../src/pool/pass-throttle.js";

interface Timer {
    readonly atMs: number;
    readonly callback: () => void;
}

interface SimulatedLoad {
    readonly passMs: number;
    readonly endMs: number;
}

/** Requests a pass every millisecond of a simulated clock and counts the passes. */
const countPasses = ({ passMs, endMs }: SimulatedLoad): number => {
    let nowMs = 0;
    let passes = 0;
    let timers: readonly Timer[] = [];
    const throttle = createPassThrottle({
        pass: () => {
            passes++;
            nowMs += passMs;
        },
        monotonicMs: () => nowMs,
        after: (waitMs, callback) => (timers = [...timers, { atMs: nowMs + waitMs, callback }]),
    });
    while (nowMs < endMs) {
        throttle.request();
        const due = timers.filter(({ atMs }) => atMs <= nowMs);
        timers = timers.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ callback }) => callback());
        nowMs++;
    }
    return passes;
};

test("long passes leave most of the time to other work, however often they are requested", () => {
    const PASS_MS = 20;
    const END_MS = 2000;
    const passes = countPasses({ passMs: PASS_MS, endMs: END_MS });
    assert.ok(passes * PASS_MS <= END_MS / 3, `${passes} passes`);
    assert.ok(passes > 10);
});

test("the first pass runs without delay, and requests made before it starts are merged into it", () => {
    let passes = 0;
    const waits: number[] = [];
    const callbacks: (() => void)[] = [];
    const throttle = createPassThrottle({
        pass: () => passes++,
        monotonicMs: () => 0,
        after: (waitMs, callback) => {
            waits.push(waitMs);
            callbacks.push(callback);
        },
    });
    throttle.request();
    throttle.request();
    callbacks.forEach(callback => callback());
    assert.deepEqual({ passes, waits }, { passes: 1, waits: [0] });
});

test("answers that arrive one after another do not cause a pass each", () => {
    const END_MS = 1000;
    const PAUSE_MS = 10;
    const passes = countPasses({ passMs: 0, endMs: END_MS });
    assert.ok(passes <= END_MS / PAUSE_MS, `${passes} passes`);
});
