import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, type RequestId, toId } from "@almondusher/fleet/ids";
import { poolSchema } from "@almondusher/fleet/pool";
import { routeSchema } from "@almondusher/fleet/route";
import { vmSchema } from "@almondusher/fleet/vm";
import type { CallerRequest } from "../src/caller-request.js";
import { createEntry } from "../src/create-entry.js";
import type { EntryContext } from "../src/entry-context.js";
import { entrySettingsSchema } from "../src/entry-settings.js";
import type { RequestPhase, ActiveRequest } from "../src/active-request.js";

/** Pool with one VM. */
export const pool = poolSchema.parse({ name: "letters", vms: ["vm-1"], minAvailable: 0 });
/** Route to the pool for paths under /letters, with default settings. */
export const route = routeSchema.parse({ name: "letters", pathPrefix: "/letters", pool: "letters", team: "notaries" });
/** VM of the pool; nothing listens on its address. */
export const vm = vmSchema.parse({
    id: "vm-1",
    role: "endpoint",
    state: "live",
    bootId: "boot-1",
    address: "127.0.0.1:9",
    rack: "rack-1",
    dataCentre: "quimper",
});
/** Assignment of the VM to the pool, in service. */
export const assignment = { vm: vm.id, pool: pool.name, phase: { kind: "serving" as const } };
/** Fleet state of revision 1 with the pool and its route. */
export const withPool = fleetState(1, { routes: [route], pools: [pool], assignments: [assignment] });

/** Creates an entry whose platform is unreachable. */
export const createTestEntry = (): Promise<EntryContext> => {
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

export interface ActiveRequestOptions {
    readonly phase: RequestPhase;
    /** Collects the status codes of responses. */
    readonly statuses: number[];
    /** Monotonic time in milliseconds. */
    readonly deadlineAtMs?: number;
}

/** Adds a request of the pool in the given phase. */
export const addActiveRequest = (
    entry: EntryContext,
    { phase, statuses, deadlineAtMs = Number.POSITIVE_INFINITY }: ActiveRequestOptions,
): ActiveRequest => {
    const runtime = entry.tables.pools.get(toId<PoolName>("letters"));
    assert.ok(runtime);
    const id = toId<RequestId>(`request-${phase}`);
    const active: ActiveRequest = {
        request: { id, route, idempotent: true, urgency: "normal", hasBody: false, deadlineAtMs } as CallerRequest,
        incoming: { complete: true, rawHeaders: [] as string[] } as IncomingMessage,
        response: {
            headersSent: false,
            writeHead: (status: number) => statuses.push(status),
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
        nextHedgeAtMs: 0,
        serverError: false,
        startedAtMs: 0,
    };
    entry.tables.requests.set(id, active);
    return active;
};
