import assert from "node:assert/strict";
import { test } from "node:test";
import { type VmId, toId } from "@almondusher/fleet/ids";
import { startEndpointStandIn } from "../src/start-endpoint-stand-in.js";

const VM = toId<VmId>("vm-1");

test("a VM rejects a request without a free slot and does not count it as a run", async context => {
    const standIn = await startEndpointStandIn({ vms: [{ vm: VM, port: 0 }], slots: 2 });
    context.after(() => standIn.close());
    const responses = await Promise.all(
        ["a", "b", "c"].map(id =>
            fetch(`http://${standIn.vm(VM).address}/`, {
                headers: { "almondusher-request-id": id, "x-work-ms": "300" },
            }),
        ),
    );
    const refused = responses.filter(response => response.status === 503);
    assert.deepEqual(
        refused.map(response => response.headers.get("almondusher-verdict")),
        ["not-run"],
    );
    assert.equal(standIn.runsByRequest().length, 2);
});
