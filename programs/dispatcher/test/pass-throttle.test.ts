import assert from "node:assert/strict";
import { test } from "node:test";
import { createPassThrottle } from "../src/pass-throttle.js";

interface Timer {
    readonly atMs: number;
    readonly callback: () => void;
}

test("long passes leave most of the time to other work, however often they are requested", () => {
    const PASS_MS = 20;
    const END_MS = 2000;
    let nowMs = 0;
    let passes = 0;
    let timers: readonly Timer[] = [];
    const throttle = createPassThrottle({
        pass: () => {
            passes++;
            nowMs += PASS_MS;
        },
        monotonicMs: () => nowMs,
        after: (waitMs, callback) => (timers = [...timers, { atMs: nowMs + waitMs, callback }]),
    });
    while (nowMs < END_MS) {
        throttle.request();
        const due = timers.filter(({ atMs }) => atMs <= nowMs);
        timers = timers.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ callback }) => callback());
        nowMs++;
    }
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
    let nowMs = 0;
    let passes = 0;
    let timers: readonly Timer[] = [];
    const throttle = createPassThrottle({
        pass: () => passes++,
        monotonicMs: () => nowMs,
        after: (waitMs, callback) => (timers = [...timers, { atMs: nowMs + waitMs, callback }]),
    });
    while (nowMs < END_MS) {
        throttle.request();
        const due = timers.filter(({ atMs }) => atMs <= nowMs);
        timers = timers.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ callback }) => callback());
        nowMs++;
    }
    assert.ok(passes <= END_MS / PAUSE_MS, `${passes} passes`);
});
