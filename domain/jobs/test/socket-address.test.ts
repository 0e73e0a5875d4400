import assert from "node:assert/strict";
import { test } from "node:test";
import { isSocketAddress } from "@almondusher/jobs/socket-address";

test("an address needs four octets and a port from 1 to 65535", () => {
    ["10.0.0.1:1", "255.255.255.255:65535"].forEach(text => assert.ok(isSocketAddress(text), text));
    [
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.256:80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:80:80",
        "[::1]:80",
        "",
    ].forEach(text => assert.ok(!isSocketAddress(text), text));
});
