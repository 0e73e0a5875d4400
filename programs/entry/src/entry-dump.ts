import { dumpAdmission } from "@almondusher/admission/demand";
import { dumpConnectionPool } from "@almondusher/exchange/connection-pool";
import { listCounters } from "@almondusher/telemetry/counters";
import { startStateDumper } from "@almondusher/telemetry/state-dump";
import type { StatusReport } from "@almondusher/telemetry/status-report";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { unregisteredPeers } from "./exchange-peers.js";
import { inFlightOn } from "./peer-handlers.js";
import { poolCapacity } from "./pool-runtime.js";
import { currentReadiness } from "./readiness.js";
import { VERSION } from "./version.js";

/** Starts the state dumper. */
export const startDumper = (entry: EntryContext) =>
    startStateDumper({
        program: "almondusher-entry",
        version: VERSION,
        processId: entry.processId,
        vm: entry.settings.vmId,
        revision: () => entry.tables.view.state.revision,
        sections: [
            { name: "readiness", read: () => ({ phase: entry.tables.phase, ...currentReadiness(entry) }) },
            { name: "registered", read: () => entry.tables.registered },
            { name: "peers", read: () => entry.tables.membership.peers.rows },
            { name: "contacts", read: () => entry.tables.membership.contacts.rows },
            { name: "unregisteredPeers", read: () => unregisteredPeers(entry) },
            { name: "vmList", read: () => entry.tables.vmListing.vms.rows },
            { name: "assignments", read: () => entry.tables.view.state.assignments.rows },
            { name: "pools", read: () => dumpPools(entry) },
            { name: "requests", read: () => dumpRequests(entry) },
            { name: "connections", read: () => dumpConnectionPool(entry.connections) },
            { name: "platform", read: () => entry.platform.counts },
            { name: "counters", read: () => listCounters(entry.counters) },
        ],
    });

const dumpPools = (entry: EntryContext) =>
    [...entry.tables.pools.values()].map(pool => ({
        pool: pool.view.pool.name,
        vms: pool.view.vms.map(vm => vm.id),
        slots: Object.fromEntries(pool.ledger.allowed),
        inFlight: Object.fromEntries(pool.ledger.inFlight),
        grant: pool.ledger.grant,
        capacity: poolCapacity(pool),
        ejections: Object.fromEntries(pool.ejections),
        admission: dumpAdmission(pool.admission),
    }));

const dumpRequests = (entry: EntryContext) =>
    [...entry.tables.requests.values()].map(({ request, phase, running, ended }) => ({
        id: request.id,
        route: request.route.name,
        phase,
        ageMs: Math.round(monotonicMs() - request.arrivedAtMs),
        vms: running.map(attempt => attempt.vm.id),
        ended,
    }));

/** Builds the status report with the readiness of this entry and the drains that it knows of. */
export const entryStatus = (entry: EntryContext): StatusReport => {
    const readiness = currentReadiness(entry);
    return {
        program: "almondusher-entry",
        processId: entry.processId,
        vm: entry.settings.vmId,
        revision: entry.tables.view.state.revision,
        ready: readiness.ready,
        ...(readiness.ready ? {} : { reason: readiness.reason }),
        drains: entry.tables.view.state.assignments.rows
            .filter(row => row.phase.kind === "draining")
            .map(row => ({ vm: row.vm, pool: row.pool, inFlight: inFlightOn(entry, row.vm), waitingFor: [] })),
        waves: [],
    };
};
