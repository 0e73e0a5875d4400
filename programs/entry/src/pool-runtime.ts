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
import { createRetryBudget, type RetryBudget, spendRetryToken } from "@almondusher/placement/retry-budget";
import type { Ejections } from "@almondusher/placement/ejection";
import type { PoolLoad } from "./report-period.js";
import type { VmHealthSnapshot } from "./vm-health-snapshot.js";
import type { EntrySettings } from "./entry-settings.js";
import type { PoolView } from "./fleet-view.js";

/** State of one pool on this entry. */
export interface PoolRuntime {
    view: PoolView;
    /** True once the pool is no longer in the fleet state; no further requests may be sent to its VMs. */
    isDeleted: boolean;
    readonly admission: Admission;
    readonly ledger: SlotLedger;
    /** Admitted requests that have no slot now: they write their claim, wait for a slot or back off after a refusal. */
    readonly waitingForSlot: Set<RequestId>;
    retries: RetryBudget;
    ejections: Ejections;
    vmHealthSnapshots: ReadonlyMap<VmId, VmHealthSnapshot>;
    /** True if attempts have ended since the health snapshots were refreshed. */
    hasNewAttemptOutcomes: boolean;
    /** This entry's shares of the team quotas, assigned by the grantor; a team without a share has its whole quota. */
    quotaShares: readonly TeamSlots[];
    /** Monotonic time of the last report to the grantor, in milliseconds. */
    reportedAtMs: number;
    /** Load that was sent in that report. */
    reportedLoad: PoolLoad;
}

/** Maximum share of a pool's slots reserved for short requests; docs/decisions/admission.md has the measurements. */
export const MAX_SHORT_RESERVE_SHARE = 0.5;

const admissionLimits = (pool: Pool, quotaShares: readonly TeamSlots[], settings: EntrySettings): AdmissionLimits => {
    const { maxQueued, borrowRunTimeMs } = settings.limits;
    return {
        shares: pool.shares,
        quickShare: MAX_SHORT_RESERVE_SHARE,
        maxQueued: { urgent: maxQueued, normal: maxQueued, deferrable: maxQueued },
        quotas: pool.quotas.map(({ team, slots }) => ({
            team,
            poolSlots: slots,
            entrySlots: quotaShares.find(share => share.team === team)?.slots ?? slots,
        })),
        borrowRunTimeMs,
    };
};

/** Sets this entry's shares of the team quotas, which the grantor assigns with each grant. */
export const applyQuotas = (runtime: PoolRuntime, shares: readonly TeamSlots[], settings: EntrySettings): void => {
    if (!isDeepStrictEqual(runtime.quotaShares, shares)) {
        runtime.quotaShares = shares;
        changeLimits(runtime.admission, admissionLimits(runtime.view.pool, shares, settings));
    }
};

/** Creates the state of a pool that was added to the fleet state. */
export const createPoolRuntime = (view: PoolView, settings: EntrySettings): PoolRuntime => ({
    view,
    isDeleted: false,
    admission: createAdmission(admissionLimits(view.pool, [], settings)),
    ledger: createSlotLedger(),
    waitingForSlot: new Set(),
    retries: createRetryBudget(performance.now()),
    ejections: new Map(),
    vmHealthSnapshots: new Map(),
    hasNewAttemptOutcomes: false,
    quotaShares: [],
    reportedAtMs: 0,
    reportedLoad: { waiting: 0, vmsInUse: 0, longRunning: 0 },
});

/** Applies a change of the pool's settings or of its VMs. */
export const updatePoolRuntime = (runtime: PoolRuntime, view: PoolView, settings: EntrySettings): void => {
    if (runtime.view.pool !== view.pool) {
        changeLimits(runtime.admission, admissionLimits(view.pool, runtime.quotaShares, settings));
    }
    runtime.view = view;
};

/** Takes one retry from the pool's retry budget; returns false if the budget is exhausted. */
export const takeRetryToken = (runtime: PoolRuntime, nowMs: number): boolean => {
    const { granted, budget } = spendRetryToken(runtime.retries, nowMs);
    runtime.retries = budget;
    return granted;
};

const isUsable = (runtime: PoolRuntime, vm: Vm): boolean => runtime.ejections.get(vm.id)?.phase !== "ejected";

/** Counts the free slots of this entry on VMs that are not ejected. */
export const usableSlots = (runtime: PoolRuntime): number =>
    runtime.view.vms.reduce((sum, vm) => sum + (isUsable(runtime, vm) ? freeSlots(runtime.ledger, vm.id) : 0), 0);

/** Computes the current capacity of the pool for admission on this entry. */
export const poolCapacity = (runtime: PoolRuntime): PoolCapacity => {
    const guarantees = guaranteedSlots(runtime.ledger, performance.now());
    return {
        free: usableSlots(runtime) - runtime.waitingForSlot.size,
        granted: grantedSlots(runtime.ledger),
        pool: runtime.view.vms.length * runtime.view.pool.slotsPerVm,
        ...(guarantees === undefined ? {} : { guarantees }),
    };
};

/** Computes the load that determines when the pool is reported to its grantor. */
export const poolLoad = ({ admission, ledger }: PoolRuntime): PoolLoad => ({
    waiting: admission.waiting.size,
    vmsInUse: ledger.inFlight.size,
    longRunning: countLongRunning(admission),
});
