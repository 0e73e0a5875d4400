import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { closeConnections } from "@almondusher/exchange/connection-pool";
import { fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, type RequestId, toId } from "@almondusher/fleet/ids";
import { poolSchema } from "@almondusher/fleet/pool";
import { routeSchema } from "@almondusher/fleet/route";
import { vmSchema } from "@almondusher/fleet/vm";
import { adoptState, adoptVms, confirmVms } from "../src/adopt-state.js";
import type { CallerRequest } from "../src/caller-request.js";
import { createEntry } from "../src/create-entry.js";
import type { EntryContext } from "../src/entry-context.js";
import { entrySettingsSchema } from "../src/entry-settings.js";
import type { FlowPhase, RequestFlow } from "../src/request-flow.js";
import { sendAttempt } from "../src/serve-request.js";

const pool = poolSchema.parse({ name: "letters", vms: ["vm-1"], minAvailable: 0 });
const route = routeSchema.parse({ name: "letters", pathPrefix: "/letters", pool: "letters", team: "notaries" });
const vm = vmSchema.parse({
    id: "vm-1",
    role: "endpoint",
    state: "live",
    bootId: "boot-1",
    address: "127.0.0.1:9",
    rack: "rack-1",
    dataCentre: "quimper",
});
const assignment = { vm: vm.id, pool: pool.name, phase: { kind: "serving" as const } };
const withPool = fleetState(1, { routes: [route], pools: [pool], assignments: [assignment] });
const withoutPool = fleetState(2, { routes: [], pools: [], assignments: [assignment] });

const createTestEntry = (): Promise<EntryContext> => {
    const folder = mkdtempSync(join(tmpdir(), "almondusher-entry-"));
    writeFileSync(join(folder, "secret"), "0".repeat(32));
    const url = "http://127.0.0.1:9";
    const settings = entrySettingsSchema.parse({
        vmId: "entry-1",
        dataCentre: "quimper",
        listen: { port: 0 },
        peerListen: { port: 0 },
        operatorListen: { port: 0 },
        peerSecretFile: "secret",
        operatorSecretFile: "secret",
        platform: { tableUrl: url, objectUrl: url, vmListUrl: url },
        logLevel: "fatal",
    });
    return createEntry({ settings, settingsFile: join(folder, "entry.json") });
};

const addFlow = (entry: EntryContext, phase: FlowPhase, answered: number[]): RequestFlow => {
    const runtime = entry.tables.pools.get(toId<PoolName>("letters"));
    assert.ok(runtime);
    const id = toId<RequestId>(`request-${phase}`);
    const flow: RequestFlow = {
        request: { id, route, idempotent: true, urgency: "normal", hasBody: false } as CallerRequest,
        incoming: { complete: true } as IncomingMessage,
        response: {
            headersSent: false,
            writeHead: (status: number) => answered.push(status),
            end: () => undefined,
        } as unknown as ServerResponse,
        pool: runtime,
        revision: 1,
        body: undefined,
        phase,
        expectsContinue: false,
        claim: undefined,
        claimed: false,
        running: [],
        ended: [],
        hedged: false,
        hedgeAgainAtMs: 0,
        serverError: false,
        startedAtMs: 0,
    };
    entry.tables.requests.set(id, flow);
    return flow;
};

test("a request that waits while its pool is deleted is rejected, as the VM may serve another pool by then", async () => {
    const entry = await createTestEntry();
    adoptVms(entry, { vms: [vm], listedAtMs: 0 });
    adoptState(entry, withPool, "platform");
    const answered: number[] = [];
    const phases = ["queued", "waiting-for-slot", "backing-off"] as const;
    phases.forEach(phase => addFlow(entry, phase, answered));
    const claiming = addFlow(entry, "claiming", answered);
    adoptState(entry, withoutPool, "platform");
    assert.deepEqual(answered, [404, 404, 404]);
    sendAttempt(entry, claiming, "first");
    assert.equal(answered.length, 4);
    assert.deepEqual(claiming.running, []);
    await closeConnections(entry.connections);
});

test("a state with a lower revision is dropped, so that an entry never goes backward", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withoutPool, "platform");
    adoptState(entry, withPool, "peer");
    assert.equal(entry.tables.view.state.revision, 2);
    await closeConnections(entry.connections);
});

const leaving = { ...vm, state: "leaving" as const };
const underMaintenance = fleetState(2, {
    routes: [route],
    pools: [pool],
    assignments: [{ ...assignment, phase: { kind: "maintenance" as const, bootId: "boot-1" } }],
});
const returned = fleetState(3, { routes: [route], pools: [pool], assignments: [assignment] });
const servingVms = (entry: EntryContext): readonly string[] =>
    entry.tables.view.pools.get(toId<PoolName>("letters"))?.vms.map(({ id }) => id) ?? [];

test("a VM that returned from maintenance serves although the list, which is older, still says that it leaves", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), ["vm-1"]);
    await closeConnections(entry.connections);
});

test("a VM that leaves by a list read after its return gets no requests, also if that list is unchanged", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    confirmVms(entry, performance.now());
    assert.deepEqual(servingVms(entry), []);
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    assert.deepEqual(servingVms(entry), []);
    await closeConnections(entry.connections);
});

test("a VM that leaves by the list of a new entry gets no requests, as nothing tells when it began to serve", async () => {
    const entry = await createTestEntry();
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), []);
    await closeConnections(entry.connections);
});
