import { periodic } from "most";
import type { VmId } from "@almondusher/fleet/ids";
import { encodeWaveState } from "@almondusher/platform-adapter/decode-wave";
import { PLATFORM_PART, STATUS_TABLE, WAVE_KEY_PREFIX } from "@almondusher/platform-adapter/platform-rows";
import { createVmClient, type VmOrderResult } from "@almondusher/platform-adapter/vm-client";
import { planMaintenance, type FleetVm, type MaintenanceOrder, type Wave } from "@almondusher/upkeep/maintenance";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import type { HeldLease, LeaseKeeper } from "./lease-keeper.js";
import { emptyLeaseContent, type LeaseContent } from "./lease-rows.js";
import type { OperatorFeed, SeenWave } from "./operator-feed.js";

/** The fleet manager, while its lease is held. */
export interface FleetRunner {
    readonly kind: "fleet";
    readonly content: () => LeaseContent;
    readonly renewed: (content: LeaseContent) => void;
    readonly stop: () => Promise<void>;
}

/** Options of the fleet manager. */
export interface FleetRunnerOptions {
    readonly context: DispatcherContext;
    readonly lease: HeldLease;
    readonly operator: OperatorFeed;
    readonly keeper: LeaseKeeper;
    readonly renewSoon: () => void;
}

const TICK_MS = 150;
const LIST_MS = 600;
const ORDER_RETRY_MS = 400;
// Lease rows of pools are trusted for this long; a pool without a scheduler vacates nothing.
const POOL_FRESH_MS = 2500;
// Holders that lost touch with the store order nothing; a successor may have begun.
const UNCONFIRMED_MS = 2500;
// Tasks that end by themselves within this time are let finish on a VM that is vacated.
const VACATE_WITHIN_MS = 2500;

/** Starts managing VMs. */
export const runFleet = (options: FleetRunnerOptions): FleetRunner => {
    const { context, lease, operator, keeper } = options;
    const client = createVmClient({
        address: context.settings.vmServiceAddress,
        holder: context.vm,
        fencingToken: lease.epoch,
    });
    const waves = new Map<number, Wave>();
    const orders = new Map<VmId, MaintenanceOrder>();
    // Those of a predecessor stand until this holder has maintained the VM, since a late order may still arrive.
    const evacuations = new Map((lease.predecessor?.evacuations ?? []).map(({ vm, byMs }) => [vm, byMs]));
    let vms: ReadonlyMap<VmId, FleetVm> = new Map();
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let active = true;

    const mayAct = (): boolean => active && !lease.lost && context.steadyMs() - lease.renewedAtMs < UNCONFIRMED_MS;
    const adoptWave = ({ request, seenAtMs }: SeenWave): void => {
        if (waves.has(request.wave)) {
            return;
        }
        const begun = lease.predecessor?.maintained.find(({ wave }) => wave === request.wave)?.vms ?? [];
        waves.set(request.wave, {
            number: request.wave,
            vms: request.vms,
            maxConcurrent: request.maxConcurrent,
            dueAtMs: seenAtMs + request.withinMs,
            begun: new Set(begun),
            completed: false,
        });
        void writeStatus(request.wave, "running");
    };
    const writeStatus = async (wave: number, state: "running" | "completed"): Promise<void> => {
        const row = { table: STATUS_TABLE, part: PLATFORM_PART, key: `${WAVE_KEY_PREFIX}${wave}` };
        while (active && !lease.lost) {
            const commit = await context.store.transact({
                expect: [],
                writes: [{ ...row, value: encodeWaveState(wave, state) }],
            });
            if (commit.kind === "committed") {
                context.log("wave-state", { wave, state });
                return;
            }
            await sleep(ORDER_RETRY_MS);
        }
    };
    const openWaves = (): readonly Wave[] => [...waves.values()].filter(({ completed }) => !completed);
    const listVms = async (): Promise<void> => {
        while (active) {
            if (openWaves().length > 0 || orders.size > 0) {
                const sentAtMs = context.steadyMs();
                const listing = await client.list();
                if (listing.kind === "listed") {
                    vms = new Map(
                        listing.vms.map(({ id, pool, condition }) => [id, { id, pool, up: condition === "up" }]),
                    );
                    listedAtMs = sentAtMs;
                }
            }
            await sleep(LIST_MS);
        }
    };
    const spare = (): ReadonlySet<FleetVm["pool"]> =>
        new Set(
            operator
                .configuration()
                ?.pools.filter(pool => pool.spare)
                .map(({ name }) => name),
        );
    const vacated = (): ReadonlySet<VmId> => {
        const pools = operator.configuration()?.pools ?? [];
        return new Set(
            pools.flatMap(({ name }) => keeper.current({ kind: "pool", pool: name }, POOL_FRESH_MS)?.vacated ?? []),
        );
    };
    const order = async (vm: VmId, wave: number): Promise<void> => {
        const sent: MaintenanceOrder = { wave, sentAtMs: context.steadyMs(), confirmedAtMs: undefined };
        orders.set(vm, sent);
        for (;;) {
            if (!mayAct()) {
                return;
            }
            const result = await client.maintain(vm, wave);
            context.log("vm-maintenance", { vm, wave, ...result });
            if (settle(vm, wave, sent, result)) {
                return;
            }
            await sleep(ORDER_RETRY_MS);
        }
    };
    const settle = (vm: VmId, wave: number, sent: MaintenanceOrder, result: VmOrderResult): boolean => {
        switch (result.kind) {
            case "done":
                sent.confirmedAtMs = context.steadyMs();
                waves.get(wave)?.begun.add(vm);
                options.renewSoon();
                return true;
            case "unknown":
                return false;
            case "rejected":
                return reject(vm, wave, result.reason);
        }
    };
    const reject = (
        vm: VmId,
        wave: number,
        reason: Extract<VmOrderResult, { kind: "rejected" }>["reason"],
    ): boolean => {
        switch (reason) {
            case "overloaded":
                return false;
            case "fenced":
                options.renewSoon();
                orders.delete(vm);
                return true;
            case "busy":
                orders.delete(vm);
                return true;
            case "other-wave":
            case "invalid":
                // The platform does not know the VM in this wave, so there is nothing to maintain.
                waves.get(wave)?.begun.add(vm);
                orders.delete(vm);
                evacuations.delete(vm);
                return true;
        }
    };
    const dropSettledEvacuations = (): void => {
        const waiting = new Set(openWaves().flatMap(wave => wave.vms.filter(vm => !wave.begun.has(vm))));
        [...evacuations.keys()].filter(vm => !waiting.has(vm) && !orders.has(vm)).forEach(vm => evacuations.delete(vm));
    };
    const tick = (): void => {
        operator.waves().forEach(adoptWave);
        if (!mayAct() || vms.size === 0) {
            return;
        }
        const nowMs = context.steadyMs();
        const plan = planMaintenance(
            {
                vms,
                listedAtMs,
                spare: spare(),
                waves: [...waves.values()],
                orders,
                evacuations: new Set(evacuations.keys()),
                vacated: vacated(),
            },
            { nowMs, maintenanceMs: context.settings.maintenanceSeconds * 1000 },
        );
        dropSettledEvacuations();
        plan.release.forEach(vm => {
            orders.delete(vm);
            evacuations.delete(vm);
        });
        plan.evacuate.forEach(vm => {
            evacuations.set(vm, context.store.nowMs() + VACATE_WITHIN_MS);
            context.log("vm-evacuate", { vm, pool: vms.get(vm)?.pool });
        });
        if (plan.release.length + plan.evacuate.length > 0) {
            options.renewSoon();
        }
        plan.order.forEach(({ vm, wave }) => void order(vm, wave));
        plan.completed.forEach(number => {
            const wave = waves.get(number);
            if (wave !== undefined) {
                wave.completed = true;
                void writeStatus(number, "completed");
            }
        });
    };
    void periodic(TICK_MS)
        .takeWhile(() => active)
        .observe(tick);
    void listVms();
    return {
        kind: "fleet",
        content: () => ({
            ...emptyLeaseContent,
            evacuations: [...evacuations].map(([vm, byMs]) => ({ vm, byMs })),
            maintained: [...waves.values()].map(({ number, begun }) => ({ wave: number, vms: [...begun] })),
        }),
        renewed: () => undefined,
        stop: () => {
            active = false;
            client.close();
            return Promise.resolve();
        },
    };
};
