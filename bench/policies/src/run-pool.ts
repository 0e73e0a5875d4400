import type { AdmissionLimits } from "@almondusher/admission/admission-options";
import { poolGuarantees } from "@almondusher/admission/guarantees";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Rendezvous } from "@almondusher/slots/rendezvous";
import { applyGrant, type SlotLedger } from "@almondusher/slots/slot-ledger";
import { type AdmissionPolicy, classAdmission, fifoAdmission } from "./admission-policy.js";
import type { Arrivals } from "./arrivals.js";
import { createOutcomes, type Outcomes } from "./outcomes.js";
import { createRandom } from "./random.js";
import { createSimulation, type EntryNode, runSimulation, type Simulation } from "./simulation.js";
import { type GrantorOptions, runGrantor } from "./grantor-node.js";
import { applyPartition, exchangeLoads, type SlotSharing } from "./slot-sharing.js";
import { ledgerView, loadView, type PoolSize, type SlotView } from "./slot-view.js";

/** Admission policy of an entry. */
export type AdmissionVariant =
    | { readonly kind: "fifo"; readonly maxQueued: number }
    | { readonly kind: "classes"; readonly limits: AdmissionLimits };

export interface PoolRun {
    readonly arrivals: Arrivals;
    readonly vmCount: number;
    readonly slotsPerVm: number;
    readonly entryCount: number;
    readonly sharing: SlotSharing;
    readonly admission: AdmissionVariant;
    readonly grants: Omit<GrantorOptions, "reportIntervalMs" | "urgentReportMs" | "allocationIntervalMs">;
    readonly endpointDelayMs: number;
    readonly peerDelayMs: number;
    readonly endMs: number;
    readonly rendezvous: Rendezvous;
}

export interface PoolResult {
    readonly outcomes: Outcomes;
    readonly messages: number;
    readonly movedSlots: number;
}

const TICK_MS = 100;
const TWO_CHOICES_SEED = 7;

/** Simulates one pool on generated arrivals. */
export const runPool = (run: PoolRun): PoolResult => {
    const vms = Array.from({ length: run.vmCount }, (unused, index) => toId<VmId>(`vm-${index}`));
    const size = { vms, slotsPerVm: run.slotsPerVm };
    const { sharing } = run;
    switch (sharing.kind) {
        case "fixed": {
            const { simulation, ledgers } = createLedgerSimulation(run, size, run.entryCount);
            applyPartition(simulation, run.rendezvous, ledgers);
            return runToEnd(simulation, run);
        }
        case "grantor": {
            const { simulation, ledgers } = createLedgerSimulation(run, size, run.entryCount);
            applyPartition(simulation, run.rendezvous, ledgers);
            const counts = runGrantor(simulation, ledgers, { ...run.grants, ...sharing });
            return { ...runToEnd(simulation, run), movedSlots: counts.movedSlots };
        }
        case "two-choices": {
            const random = createRandom(TWO_CHOICES_SEED);
            const views = Array.from({ length: run.entryCount }, () =>
                loadView(size, { random, entries: run.entryCount }),
            );
            const simulation = createPoolSimulation(run, size, views);
            exchangeLoads(simulation, views, sharing.reportIntervalMs);
            return runToEnd(simulation, run);
        }
        case "per-request":
            return runPerRequest(run, size);
    }
};

const createLedgerSimulation = (
    run: PoolRun,
    size: PoolSize,
    count: number,
): { simulation: Simulation; ledgers: readonly SlotLedger[] } => {
    const clock = { now: (): number => simulation.events.now };
    const views = Array.from({ length: count }, () => ledgerView(size, clock));
    const simulation = createPoolSimulation(run, size, views);
    return { simulation, ledgers: views.map(view => view.ledger) };
};

// Every request acquires its slot from the grantor, which holds all slots; the messages are request, grant and release.
const MESSAGES_PER_REQUEST = 3;

const runPerRequest = (run: PoolRun, size: PoolSize): PoolResult => {
    const { simulation, ledgers } = createLedgerSimulation(run, size, 1);
    const rows = size.vms.map(vm => ({ vm, slots: size.slotsPerVm }));
    const slots = run.vmCount * run.slotsPerVm;
    const guarantees = poolGuarantees({
        shares: run.grants.shares,
        shortReserveSlots: Math.floor(run.grants.quickShare * slots),
        slots,
    });
    ledgers.forEach(ledger =>
        applyGrant(
            ledger,
            { grantor: toId<ProcessId>("entry-0"), version: 1, rows, guarantees, quotas: [], expiresAt: Infinity },
            0,
        ),
    );
    const result = runToEnd(simulation, run);
    const remote = (run.entryCount - 1) / run.entryCount;
    return { ...result, messages: Math.round(result.outcomes.arrived * MESSAGES_PER_REQUEST * remote) };
};

const createPoolSimulation = (run: PoolRun, size: PoolSize, views: readonly SlotView[]): Simulation =>
    createSimulation({
        times: { endpointDelayMs: run.endpointDelayMs, peerDelayMs: run.peerDelayMs, tickMs: TICK_MS },
        size,
        entries: views.map((view, index) => createEntry(run, view, index)),
        arrivals: run.arrivals,
        outcomes: createOutcomes(run.arrivals),
        controlDelayMs: run.sharing.kind === "per-request" ? run.peerDelayMs : 0,
    });

const createEntry = (run: PoolRun, view: SlotView, index: number): EntryNode => ({
    id: toId<ProcessId>(`entry-${index}`),
    admission: createAdmissionPolicy(run.admission),
    view,
    estimatedRunMs: run.arrivals.queues.map(() => undefined),
    onQueued: () => undefined,
});

const createAdmissionPolicy = (variant: AdmissionVariant): AdmissionPolicy => {
    switch (variant.kind) {
        case "fifo":
            return fifoAdmission(variant.maxQueued);
        case "classes":
            return classAdmission(variant.limits);
    }
};

const runToEnd = (simulation: Simulation, run: PoolRun): PoolResult => {
    runSimulation(simulation, run.endMs);
    return { outcomes: simulation.outcomes, messages: simulation.messages, movedSlots: 0 };
};
