import { isDeepStrictEqual } from "node:util";
import { createAdmission, type Admission } from "@almondusher/admission/admission-state";
import { countLongRunning } from "@almondusher/admission/demand";
import type { AdmissionLimits, PoolCapacity } from "@almondusher/admission/admission-options";
import { changeLimits } from "@almondusher/admission/limits";
import type { RequestId, VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";
import {
    createSlotLedger,
    freeSlots,
    grantedSlots,
    guaranteedSlots,
    type SlotLedger,
    type TeamSlots,
} from "@almondusher/slots/slot-ledger";
import { createRetryBudget, type RetryBudget, takeRetry } from "@almondusher/placement/retry-budget";
import type { Ejections } from "@almondusher/placement/ejection";
import type { PoolWork } from "./report-period.js";
import type { VmStanding } from "./vm-standing.js";
import type { EntrySettings } from "./entry-settings.js";
import type { PoolView } from "./fleet-view.js";

/** The tables of one pool on this entry. */
export interface PoolRuntime {
    view: PoolView;
    /** The pool is no longer in the fleet state; nothing more may be sent to its VMs. */
    isDeleted: boolean;
    readonly admission: Admission;
    readonly ledger: SlotLedger;
    /** Admitted requests that wait for a slot on another VM after an attempt failed. */
    readonly waitingForSlot: Set<RequestId>;
    retries: RetryBudget;
    ejections: Ejections;
    standings: ReadonlyMap<VmId, VmStanding>;
    /** True if attempts have ended since the standings were refreshed. */
    hasNewOutcomes: boolean;
    /** Parts of the quotas that the grantor gave to this entry; empty for an even division. */
    quotaParts: readonly TeamSlots[];
    /** Monotonic time of the last report to the grantor, in milliseconds. */
    reportedAtMs: number;
    /** What that report told. */
    reportedWork: PoolWork;
}

/** Largest share of the slots of a pool kept for short requests; docs/decisions/admission.md has the figures. */
export const QUICK_SHARE = 0.5;

const limitsOf = (pool: Pool, quotaParts: readonly TeamSlots[], settings: EntrySettings): AdmissionLimits => {
    const { maxQueued, borrowRunTimeMs } = settings.limits;
    return {
        shares: pool.shares,
        quickShare: QUICK_SHARE,
        maxQueued: { urgent: maxQueued, normal: maxQueued, deferrable: maxQueued },
        quotas: pool.quotas.map(({ team, slots }) => ({
            team,
            poolSlots: slots,
            entrySlots: quotaParts.find(part => part.team === team)?.slots ?? slots,
        })),
        borrowRunTimeMs,
    };
};

/** Takes over the parts of the quotas that a grant gives to this entry. */
export const applyQuotas = (runtime: PoolRuntime, parts: readonly TeamSlots[], settings: EntrySettings): void => {
    if (!isDeepStrictEqual(runtime.quotaParts, parts)) {
        runtime.quotaParts = parts;
        changeLimits(runtime.admission, limitsOf(runtime.view.pool, parts, settings));
    }
};

/** Creates the tables of a pool that appears in the fleet state. */
export const createPoolRuntime = (view: PoolView, settings: EntrySettings): PoolRuntime => ({
    view,
    isDeleted: false,
    admission: createAdmission(limitsOf(view.pool, [], settings)),
    ledger: createSlotLedger(),
    waitingForSlot: new Set(),
    retries: createRetryBudget(performance.now()),
    ejections: new Map(),
    standings: new Map(),
    hasNewOutcomes: false,
    quotaParts: [],
    reportedAtMs: 0,
    reportedWork: { waiting: 0, vmsInUse: 0, longRunning: 0 },
});

/** Takes over a changed row of the pool or a changed set of VMs. */
export const updatePoolRuntime = (runtime: PoolRuntime, view: PoolView, settings: EntrySettings): void => {
    if (runtime.view.pool !== view.pool) {
        changeLimits(runtime.admission, limitsOf(view.pool, runtime.quotaParts, settings));
    }
    runtime.view = view;
};

/** Takes one retry from the budget of the pool; false if it is used up. */
export const spendRetry = (runtime: PoolRuntime, nowMs: number): boolean => {
    const { granted, budget } = takeRetry(runtime.retries, nowMs);
    runtime.retries = budget;
    return granted;
};

const isUsable = (runtime: PoolRuntime, vm: Vm): boolean => runtime.ejections.get(vm.id)?.phase !== "ejected";

/** Free slots of this entry on VMs that are not ejected. */
export const usableSlots = (runtime: PoolRuntime): number =>
    runtime.view.vms.reduce((sum, vm) => sum + (isUsable(runtime, vm) ? freeSlots(runtime.ledger, vm.id) : 0), 0);

/** Slots of the pool as this entry sees them now. */
export const capacityOf = (runtime: PoolRuntime): PoolCapacity => {
    const guarantees = guaranteedSlots(runtime.ledger, performance.now());
    return {
        free: usableSlots(runtime) - runtime.waitingForSlot.size,
        granted: grantedSlots(runtime.ledger),
        pool: runtime.view.vms.length * runtime.view.pool.slotsPerVm,
        ...(guarantees === undefined ? {} : { guarantees }),
    };
};

/** Work of the pool that its grantor is told of. */
export const workOf = ({ admission, ledger }: PoolRuntime): PoolWork => ({
    waiting: admission.waiting.size,
    vmsInUse: ledger.inFlight.size,
    longRunning: countLongRunning(admission),
});
