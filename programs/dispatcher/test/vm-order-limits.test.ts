import assert from "node:assert/strict";
import { test } from "node:test";
import { FLEET_LEASE_DURATION_MS } from "../src/leases/held-lease.js";
import { orderTimeoutMs } from "../src/fleet/vm-order-limits.js";

const AGES_MS = Array.from({ length: 400 }, (unused, index) => index * 10);

test("no order is sent under a lease that was not renewed for 2.5 s", () => {
    (["enforced", "not-enforced"] as const).forEach(kind =>
        AGES_MS.filter(ageMs => ageMs >= 2500).forEach(ageMs => assert.equal(orderTimeoutMs({ kind }, ageMs), 0)),
    );
});

test("where the VM service checks no tokens, every order ends before another process may take the lease over", () =>
    AGES_MS.forEach(ageMs => {
        const timeoutMs = orderTimeoutMs({ kind: "not-enforced" }, ageMs);
        assert.ok(ageMs + timeoutMs < FLEET_LEASE_DURATION_MS || timeoutMs === 0, `${ageMs} ms + ${timeoutMs} ms`);
    }));

test("under a fresh lease an order has the same time with and without token checks", () =>
    assert.equal(orderTimeoutMs({ kind: "not-enforced" }, 500), orderTimeoutMs({ kind: "enforced" }, 500)));
