import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { callEntry } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { setFaults } from "../src/endpoint-control.js";
import { startFailureFleet } from "../src/failure-fleet.js";

const CALLS = 30;
const VMS = ["letters-1", "letters-2"];

let deployment: Deployment;
let entry: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({
        services: ["letters"],
        vmsPerService: VMS.length,
        entries: 1,
        poolKeys: { requestIdEcho: "required" },
    });
    [entry] = deployment.entries as [DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

test("with requestIdEcho required, unsolicited bytes received during a request are not taken for its response", async () => {
    await setFaults(deployment, VMS, { unsolicitedAfterMs: 20 });
    const foreign: string[] = [];
    for (let call = 0; call < CALLS; call += 1) {
        const result = await callEntry(entry, { path: "/letters", headers: { "x-work-ms": "60" } });
        const body = result.kind === "response" && result.status === 200 ? result.body.toString() : undefined;
        const own = result.kind === "response" ? `{"requestId":"${result.requestId ?? ""}"` : "";
        foreign.push(...(body === undefined || body.startsWith(own) ? [] : [body]));
    }
    await setFaults(deployment, VMS);
    assert.deepEqual(foreign, []);
});
