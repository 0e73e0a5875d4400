import assert from "node:assert/strict";
import { test } from "node:test";
import { evaluateReadiness, type ReadinessOptions } from "../src/readiness.js";

const serving: ReadinessOptions = {
    phase: "serving",
    hasState: true,
    hasVmList: true,
    nowMs: 20_000,
    lastContactMs: 19_000,
    isolationTimeoutMs: 10_000,
};

test("an entry is not ready while draining, without a state or VM list, or after losing contact", () => {
    assert.equal(evaluateReadiness(serving).ready, true);
    const broken: readonly Partial<ReadinessOptions>[] = [
        { phase: "draining" },
        { hasState: false },
        { hasVmList: false },
        { lastContactMs: 9_999 },
    ];
    broken.forEach(part => {
        const readiness = evaluateReadiness({ ...serving, ...part });
        assert.equal(readiness.ready, false);
    });
});
