import type { Rendezvous } from "@almondusher/slots/rendezvous";
import { setFallback, type SlotLedger } from "@almondusher/slots/slot-ledger";
import { schedule } from "./event-queue.js";
import { type Simulation, startQueued } from "./simulation.js";
import type { LoadView } from "./slot-view.js";

/** Policy by which the entries share the slots of a pool. */
export type SlotSharing =
    | { readonly kind: "fixed" }
    | { readonly kind: "two-choices"; readonly reportIntervalMs: number }
    | { readonly kind: "per-request" }
    | {
          readonly kind: "grantor";
          readonly reportIntervalMs: number;
          /** Minimum interval between reports caused by queued requests; only periodic reports if absent. */
          readonly demandReportMs?: number;
          /** Minimum interval between two allocations of the pool's slots. */
          readonly allocationIntervalMs: number;
      };

/** Assigns each entry its partition of the slots by rendezvous hashing. */
export const applyPartition = (
    { size, entries, events }: Simulation,
    rendezvous: Rendezvous,
    ledgers: readonly SlotLedger[],
): void => {
    const members = entries.map(entry => entry.id);
    ledgers.forEach((ledger, index) => {
        const self = members[index];
        const fallback = self === undefined ? [] : rendezvous.partitionSlots({ ...size, members, self });
        setFallback(ledger, fallback, events.now);
    });
};

/** Broadcasts load reports between all entries periodically. */
export const exchangeLoads = (simulation: Simulation, views: readonly LoadView[], intervalMs: number): void => {
    const { events, times } = simulation;
    views.forEach((view, from) => {
        const load = view.ownLoad();
        simulation.messages += views.length - 1;
        schedule(events, times.peerDelayMs, () =>
            views.filter(other => other !== view).forEach(other => other.recordReport(from, load)),
        );
    });
    schedule(events, times.peerDelayMs, () => simulation.entries.forEach(entry => startQueued(simulation, entry)));
    schedule(events, intervalMs, () => exchangeLoads(simulation, views, intervalMs));
};
