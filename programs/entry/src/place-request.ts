import type { Vm } from "@almondusher/fleet/vm";
import type { Cause } from "@almondusher/fleet/verdict";
import { chooseVm, type VmCandidate } from "@almondusher/placement/choose-vm";
import { defaultEjectionSettings, recordProbe, updateEjections } from "@almondusher/placement/ejection";
import {
    clearVmHealth,
    recordOutcome,
    vmFailureRate,
    attributedVmFailures,
    vmLatency,
    vmWeight,
} from "@almondusher/placement/vm-health";
import { logEvent } from "@almondusher/telemetry/logger";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { ActiveRequest, Attempt } from "./active-request.js";
import type { VmHealthSnapshot } from "./vm-health-snapshot.js";

const UNKNOWN_HEALTH: VmHealthSnapshot = { weight: 1, latencyMs: undefined };

const isEjected = (pool: PoolRuntime, vm: Vm): boolean => pool.ejections.get(vm.id)?.phase === "ejected";

const candidateOf = (pool: PoolRuntime, vm: Vm): VmCandidate => {
    const { weight, latencyMs } = pool.vmHealthSnapshots.get(vm.id) ?? UNKNOWN_HEALTH;
    return {
        vm: vm.id,
        dataCentre: vm.dataCentre,
        slots: pool.ledger.allowed.get(vm.id) ?? 0,
        inFlight: pool.ledger.inFlight.get(vm.id) ?? 0,
        weight,
        latencyMs,
        probing: pool.ejections.get(vm.id)?.phase === "probing",
    };
};

/** Chooses the VM for the next attempt of a request, preferably an untried one; undefined if no slot is free. */
export const placeRequest = (entry: EntryContext, active: ActiveRequest): Vm | undefined => {
    const { pool, request } = active;
    const candidates = pool.view.vms.filter(vm => !isEjected(pool, vm)).map(vm => candidateOf(pool, vm));
    const choose = (attempted?: ReadonlySet<Vm["id"]>) =>
        chooseVm({
            candidates,
            dataCentre: entry.settings.dataCentre,
            ...(attempted === undefined ? {} : { attemptedVms: attempted }),
            mayProbe: request.idempotent && attempted === undefined,
            random: entry.random,
        });
    const chosen =
        active.ended.length === 0 && active.running.length === 0
            ? choose()
            : (choose(attemptedVms(active)) ?? choose());
    return chosen === undefined ? undefined : pool.view.vms.find(vm => vm.id === chosen);
};

const attemptedVms = (active: ActiveRequest): ReadonlySet<Vm["id"]> =>
    new Set([...active.ended.map(ended => ended.vm), ...active.running.map(attempt => attempt.vm.id)]);

/** Identifies requests for the same work, so that one that fails everywhere does not lower the health of every VM. */
const healthFingerprint = ({ request }: ActiveRequest): string =>
    `${request.route.name} ${request.method} ${request.target}`;

// A full VM or a disconnected caller says nothing about the health of the VM.
const causesIgnoredByHealth: ReadonlySet<Cause> = new Set(["endpoint-refused", "no-capacity", "cancelled", "stopping"]);

/** Records the outcome of an attempt in the health of its VM; `cause` is absent after a success. */
export const recordAttemptOutcome = (
    entry: EntryContext,
    active: ActiveRequest,
    attempt: Attempt,
    cause?: Cause,
): void => {
    const { pool } = active;
    const vm = attempt.vm.id;
    const now = monotonicMs();
    const isIgnored = cause !== undefined && causesIgnoredByHealth.has(cause);
    pool.hasNewAttemptOutcomes = true;
    const result = isIgnored ? "cancelled" : cause === undefined ? "success" : "failure";
    recordOutcome(entry.health, {
        vm,
        fingerprint: healthFingerprint(active),
        at: now,
        result,
        latencyMs: now - attempt.startedAtMs,
    });
    if (isIgnored || pool.ejections.get(vm)?.phase !== "probing") {
        return;
    }
    pool.ejections = recordProbe({ ejections: pool.ejections, vm, success: cause === undefined, now });
    if (!pool.ejections.has(vm)) {
        clearVmHealth(entry.health, vm);
        logEvent(entry.logger, { kind: "vm-restored", restoredVm: vm, pool: pool.view.pool.name });
    }
};

/** Refreshes the health snapshots of a pool's VMs, and ejects VMs on which too many attempts fail. */
export const refreshVmHealth = (entry: EntryContext, pool: PoolRuntime): void => {
    if (!pool.hasNewAttemptOutcomes && pool.ejections.size === 0) {
        return;
    }
    pool.hasNewAttemptOutcomes = false;
    const now = monotonicMs();
    const { health } = entry;
    pool.vmHealthSnapshots = new Map(
        pool.view.vms.map(vm => [vm.id, { weight: vmWeight(health, vm.id, now), latencyMs: vmLatency(health, vm.id) }]),
    );
    const before = pool.ejections;
    pool.ejections = updateEjections({
        ejections: before,
        candidates: pool.view.vms.map(vm => ({
            vm: vm.id,
            rack: vm.rack,
            dataCentre: vm.dataCentre,
            failureRate: vmFailureRate(health, vm.id, now),
            failures: attributedVmFailures(health, vm.id, now),
        })),
        now,
        settings: { ...defaultEjectionSettings, maxEjectedShare: entry.settings.limits.maxEjectedShare },
    });
    [...pool.ejections.keys()]
        .filter(vm => !before.has(vm))
        .forEach(vm =>
            logEvent(entry.logger, {
                kind: "vm-ejected",
                ejectedVm: vm,
                pool: pool.view.pool.name,
                reason: `${Math.round(vmFailureRate(health, vm, now) * 100)}% of recent attempts failed`,
            }),
        );
};
