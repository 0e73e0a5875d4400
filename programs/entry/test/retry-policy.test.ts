import assert from "node:assert/strict";
import { test } from "node:test";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import { type VmId, toId } from "@almondusher/fleet/ids";
import type { CallerRequest } from "../src/caller-request.js";
import { decideRetry } from "../src/retry-policy.js";

interface Case {
    readonly idempotent?: boolean;
    readonly verdict?: Verdict;
    readonly cause?: Cause;
    readonly attempts?: number;
    readonly nowMs?: number;
    readonly canReplay?: boolean;
}

const decide = ({
    idempotent = false,
    verdict = "not-run",
    cause = "connect-failed",
    attempts = 1,
    nowMs = 0,
    canReplay = true,
}: Case) =>
    decideRetry({
        active: {
            request: { idempotent, deadlineAtMs: 1000 } as CallerRequest,
            ended: Array.from({ length: attempts }, () => ({ vm: toId<VmId>("vm-1"), verdict, cause })),
            body: {
                canReplay: () => canReplay,
                open: () => undefined,
                detach: () => undefined,
                discard: () => undefined,
            },
        },
        failure: { verdict, cause, message: "" },
        nowMs,
        maxAttempts: 3,
    });

test("a request that may have run is retried only if it is idempotent", () => {
    assert.equal(decide({ verdict: "may-have-run" }), "give-up");
    assert.equal(decide({ verdict: "may-have-run", idempotent: true }), "retry-within-budget");
    assert.equal(decide({ verdict: "not-run" }), "retry-within-budget");
});

test("no retry after the maximum number of attempts, after the deadline or with a body that cannot be replayed", () => {
    assert.equal(decide({ attempts: 3 }), "give-up");
    assert.equal(decide({ nowMs: 1000 }), "give-up");
    assert.equal(decide({ canReplay: false }), "give-up");
});

test("refusals by a full endpoint do not count as attempts but are limited themselves", () => {
    assert.equal(decide({ cause: "endpoint-refused", attempts: 5 }), "ask-again-later");
    assert.equal(decide({ cause: "endpoint-refused", attempts: 11 }), "give-up");
});
