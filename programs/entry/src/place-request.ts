import type { Vm } from "@almondusher/fleet/vm";
import type { Cause } from "@almondusher/fleet/verdict";
import { chooseVm, type VmCandidate } from "@almondusher/placement/choose-vm";
import { defaultEjectionSettings, recordProbe, updateEjections } from "@almondusher/placement/ejection";
import {
    forgetVm,
    recordOutcome,
    vmFailureRate,
    vmFailures,
    vmLatency,
    vmWeight,
} from "@almondusher/placement/vm-health";
import { logEvent } from "@almondusher/telemetry/logger";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { Attempt, RequestFlow } from "./request-flow.js";
import type { VmStanding } from "./vm-standing.js";

const UNKNOWN_STANDING: VmStanding = { weight: 1, latencyMs: undefined };

const isEjected = (pool: PoolRuntime, vm: Vm): boolean => pool.ejections.get(vm.id)?.phase === "ejected";

const candidateOf = (pool: PoolRuntime, vm: Vm): VmCandidate => {
    const { weight, latencyMs } = pool.standings.get(vm.id) ?? UNKNOWN_STANDING;
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

/** The VM for the next attempt of a request, or undefined if no slot is free. */
export const placeRequest = (entry: EntryContext, flow: RequestFlow): Vm | undefined => {
    const { pool, request } = flow;
    const candidates = pool.view.vms.filter(vm => !isEjected(pool, vm)).map(vm => candidateOf(pool, vm));
    const choose = (tried?: ReadonlySet<Vm["id"]>) =>
        chooseVm({
            candidates,
            dataCentre: entry.settings.dataCentre,
            ...(tried === undefined ? {} : { tried }),
            mayProbe: request.idempotent && tried === undefined,
            random: entry.random,
        });
    const chosen =
        flow.ended.length === 0 && flow.running.length === 0 ? choose() : (choose(triedVms(flow)) ?? choose());
    return chosen === undefined ? undefined : pool.view.vms.find(vm => vm.id === chosen);
};

const triedVms = (flow: RequestFlow): ReadonlySet<Vm["id"]> =>
    new Set([...flow.ended.map(ended => ended.vm), ...flow.running.map(attempt => attempt.vm.id)]);

/** Jobs are told apart by what they ask for, so that one that always fails is not blamed on every VM that tried it. */
const jobOf = ({ request }: RequestFlow): string => `${request.route.name} ${request.method} ${request.target}`;

// A full VM and a caller that left say nothing about the health of a VM.
const blamelessCauses: ReadonlySet<Cause> = new Set(["endpoint-refused", "no-capacity", "cancelled", "stopping"]);

/** Records how an attempt ended for the health of its VM; `cause` is absent after a success. */
export const noteOutcome = (entry: EntryContext, flow: RequestFlow, attempt: Attempt, cause?: Cause): void => {
    const { pool } = flow;
    const vm = attempt.vm.id;
    const now = monotonicMs();
    const isBlameless = cause !== undefined && blamelessCauses.has(cause);
    pool.hasNewOutcomes = true;
    const result = isBlameless ? "cancelled" : cause === undefined ? "success" : "failure";
    recordOutcome(entry.health, { vm, job: jobOf(flow), at: now, result, latencyMs: now - attempt.startedAtMs });
    if (isBlameless || pool.ejections.get(vm)?.phase !== "probing") {
        return;
    }
    pool.ejections = recordProbe({ ejections: pool.ejections, vm, success: cause === undefined, now });
    if (!pool.ejections.has(vm)) {
        forgetVm(entry.health, vm);
        logEvent(entry.logger, { kind: "vm-restored", restoredVm: vm, pool: pool.view.pool.name });
    }
};

/** Refreshes what placement knows of the VMs of a pool, and ejects those that fail. */
export const refreshStandings = (entry: EntryContext, pool: PoolRuntime): void => {
    if (!pool.hasNewOutcomes && pool.ejections.size === 0) {
        return;
    }
    pool.hasNewOutcomes = false;
    const now = monotonicMs();
    const { health } = entry;
    pool.standings = new Map(
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
            failures: vmFailures(health, vm.id, now),
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
