import assert from "node:assert/strict";
import { test } from "node:test";
import { readinessOf, type ReadinessOptions } from "../src/readiness.js";

const serving: ReadinessOptions = {
    phase: "serving",
    hasState: true,
    hasVmList: true,
    nowMs: 20_000,
    lastContactMs: 19_000,
    isolationTimeoutMs: 10_000,
};

test("an entry is ready only with a state, a VM list and recent contact, as it may otherwise hold an old revision", () => {
    assert.equal(readinessOf(serving).ready, true);
    const broken: readonly Partial<ReadinessOptions>[] = [
        { phase: "draining" },
        { hasState: false },
        { hasVmList: false },
        { lastContactMs: 9_999 },
    ];
    broken.forEach(part => {
        const readiness = readinessOf({ ...serving, ...part });
        assert.equal(readiness.ready, false);
    });
});
