import assert from "node:assert/strict";
import test from "node:test";
import type { TenantName } from "@almondusher/jobs/ids";
import { countUse, createUseWindow, USE_WINDOW_MS, usedInWindow } from "@almondusher/shares/use-window";

const A = "a" as TenantName;
const B = "b" as TenantName;
const CPU = 1000;
const RUN_A = {};
const RUN_B = {};

test("use is counted once however often it is asked for, up to half of the last interval, and forgotten once it lies before the window", () => {
    const window = createUseWindow();
    for (let nowMs = 0; nowMs <= 2000; nowMs += 10) {
        countUse(window, nowMs, [
            ...(nowMs <= 1000 ? [{ run: RUN_A, tenant: A, cpu: CPU, startedAtMs: 0 }] : []),
            ...(nowMs < 2000 ? [{ run: RUN_B, tenant: B, cpu: 2 * CPU, startedAtMs: 1000 }] : []),
        ]);
    }
    assert.deepEqual(Object.fromEntries(usedInWindow(window)), { a: 1005 * CPU, b: 2 * 995 * CPU });
    countUse(window, 1500 + USE_WINDOW_MS, []);
    assert.equal(usedInWindow(window).get(A), undefined);
    assert.ok((usedInWindow(window).get(B) ?? 0) > 0);
    countUse(window, 2001 + USE_WINDOW_MS, []);
    assert.equal(usedInWindow(window).size, 0);
});

test("the first count takes what runs have used within the window, and a time before the last count adds nothing", () => {
    const window = createUseWindow();
    countUse(window, 10 * USE_WINDOW_MS, [
        { run: RUN_A, tenant: A, cpu: CPU, startedAtMs: 0 },
        { run: RUN_B, tenant: B, cpu: CPU, startedAtMs: 10 * USE_WINDOW_MS - 100 },
    ]);
    countUse(window, 9 * USE_WINDOW_MS, [{ run: RUN_A, tenant: A, cpu: CPU, startedAtMs: 0 }]);
    assert.deepEqual(Object.fromEntries(usedInWindow(window)), { a: USE_WINDOW_MS * CPU, b: 100 * CPU });
});
