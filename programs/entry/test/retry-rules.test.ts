import assert from "node:assert/strict";
import { test } from "node:test";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import { type VmId, toId } from "@almondusher/fleet/ids";
import type { CallerRequest } from "../src/caller-request.js";
import { decideRetry } from "../src/retry-rules.js";

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
        flow: {
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

test("work that may have run is sent again only if it is idempotent", () => {
    assert.equal(decide({ verdict: "may-have-run" }), "give-up");
    assert.equal(decide({ verdict: "may-have-run", idempotent: true }), "retry-within-budget");
    assert.equal(decide({ verdict: "not-run" }), "retry-within-budget");
});

test("attempts end at their limit, at the deadline and with a body that cannot be sent again", () => {
    assert.equal(decide({ attempts: 3 }), "give-up");
    assert.equal(decide({ nowMs: 1000 }), "give-up");
    assert.equal(decide({ canReplay: false }), "give-up");
});

test("a full endpoint is asked again without using up attempts, but not for ever", () => {
    assert.equal(decide({ cause: "endpoint-refused", attempts: 5 }), "ask-again-later");
    assert.equal(decide({ cause: "endpoint-refused", attempts: 11 }), "give-up");
});
