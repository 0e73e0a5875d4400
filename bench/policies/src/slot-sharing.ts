import type { Rendezvous } from "@almondusher/slots/rendezvous";
import { setFallback, type SlotLedger } from "@almondusher/slots/slot-ledger";
import { schedule } from "./event-queue.js";
import { type Simulation, startWaiting } from "./simulation.js";
import type { LoadView } from "./slot-view.js";

/** How the entries share the slots of a pool. */
export type SlotSharing =
    | { readonly kind: "fixed" }
    | { readonly kind: "two-choices"; readonly reportIntervalMs: number }
    | { readonly kind: "per-request" }
    | {
          readonly kind: "grantor";
          readonly reportIntervalMs: number;
          /** Least time between two reports that waiting requests cause; absent for none between the periodic ones. */
          readonly demandReportMs?: number;
          /** Least time between two divisions of the pool. */
          readonly divisionIntervalMs: number;
      };

/** Gives each entry its rendezvous partition. */
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

/** Exchanges load reports between all entries. */
export const exchangeLoads = (simulation: Simulation, views: readonly LoadView[], intervalMs: number): void => {
    const { events, times } = simulation;
    views.forEach((view, from) => {
        const load = view.ownLoad();
        simulation.messages += views.length - 1;
        schedule(events, times.peerDelayMs, () =>
            views.filter(other => other !== view).forEach(other => other.noteReport(from, load)),
        );
    });
    schedule(events, times.peerDelayMs, () => simulation.entries.forEach(entry => startWaiting(simulation, entry)));
    schedule(events, intervalMs, () => exchangeLoads(simulation, views, intervalMs));
};
