import { createHash } from "node:crypto";
import { type FleetState, fleetState } from "@almondusher/fleet/fleet-state";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { type Pool, poolSchema } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";

const HASH_BYTES = 6;
const HASH_RANGE = 2 ** (8 * HASH_BYTES);
const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;
const VMS_PER_RACK = 4;

// Returns a number from 0 to 1 that depends only on the seed and the label, so that all variants see the same events.
const seededFraction = (seed: number, label: string): number =>
    createHash("sha256").update(`${seed}/${label}`).digest().readUIntBE(0, HASH_BYTES) / HASH_RANGE;

/** Size and shape of a fleet. */
export interface FleetShape {
    readonly name: string;
    /** VMs of each service pool. */
    readonly services: readonly number[];
    /** VMs of each spare pool. */
    readonly spares: readonly number[];
    readonly dataCentres: number;
}

/** Current fleets of the two organisations that use almondusher, and the target fleet planned for two years later. */
export const fleetShapes: readonly FleetShape[] = [
    { name: "Union", services: [6, 7, 7, 7, 8], spares: [4], dataCentres: 3 },
    { name: "Lapidaria", services: [8, 8, 8, 8, 8], spares: [4], dataCentres: 4 },
    { name: "target", services: Array.from({ length: 92 }, () => 7), spares: [4, 4, 4, 4], dataCentres: 6 },
];

const vmId = (index: number): VmId => toId<VmId>(`vm-${String(index).padStart(4, "0")}`);

/** Creates the VMs of a fleet; VMs with consecutive numbers are in different data centres. */
export const simulatedVms = (shape: FleetShape): readonly Vm[] => {
    const count = [...shape.services, ...shape.spares].reduce((sum, size) => sum + size, 0);
    return Array.from({ length: count }, (unused, index): Vm => {
        const dataCentre = index % shape.dataCentres;
        const rack = Math.floor(Math.floor(index / shape.dataCentres) / VMS_PER_RACK);
        return {
            id: vmId(index),
            role: "endpoint",
            state: "live",
            bootId: "0",
            address: "10.0.0.1:1",
            rack: toId(`rack-${rack}`),
            dataCentre: toId(`dc-${dataCentre}`),
        };
    });
};

const SERVICE_MAX_BORROWED = 2;

/** Creates the pools of a fleet; each service pool can spare one VM and can borrow two. */
const simulatedPools = (shape: FleetShape): readonly Pool[] => {
    const sizes = [...shape.services, ...shape.spares];
    return sizes.map((size, index) => {
        const first = sizes.slice(0, index).reduce((sum, other) => sum + other, 0);
        const spare = index >= shape.services.length;
        return poolSchema.parse({
            name: `${spare ? "spare" : "service"}-${index}`,
            vms: Array.from({ length: size }, (unused, offset) => vmId(first + offset)),
            minAvailable: spare ? 0 : size - 1,
            maxBorrowed: spare ? 0 : SERVICE_MAX_BORROWED,
            spare,
        });
    });
};

/** Creates the fleet state before the first plan, which sets the last maintenance of each VM within the past period. */
export const simulatedState = (shape: FleetShape): FleetState =>
    fleetState(0, { routes: [], pools: simulatedPools(shape), assignments: [] });

/** An interval during which a VM is unavailable. */
export interface Outage {
    readonly vm: VmId;
    readonly startMs: number;
    readonly endMs: number;
}

// Of the 660 VMs of the target fleet, 7 fail and 38 are restarted or replaced on an ordinary day.
const FAILURES_PER_VM_DAY = 7 / 660;
const RESTARTS_PER_VM_DAY = 38 / 660;
const FAILURE_MS = 30 * MINUTE_MS;
const RESTART_MS = 4 * MINUTE_MS;

interface OutageKind {
    readonly name: string;
    readonly perDay: number;
    readonly durationMs: number;
}

const outageKinds: readonly OutageKind[] = [
    { name: "failure", perDay: FAILURES_PER_VM_DAY, durationMs: FAILURE_MS },
    { name: "restart", perDay: RESTARTS_PER_VM_DAY, durationMs: RESTART_MS },
];

export interface OutageOptions {
    readonly vms: readonly Vm[];
    readonly seed: number;
    readonly days: number;
}

/** Generates failures and restarts at the rates of an ordinary day; times in milliseconds from the start. */
export const simulatedOutages = ({ vms, seed, days }: OutageOptions): readonly Outage[] =>
    vms.flatMap(vm =>
        Array.from({ length: days }, (unused, day) => day).flatMap(day =>
            outageKinds
                .filter(kind => seededFraction(seed, `${kind.name}/${vm.id}/${day}`) < kind.perDay)
                .map(kind => {
                    const startMs = (day + seededFraction(seed, `time/${kind.name}/${vm.id}/${day}`)) * DAY_MS;
                    return { vm: vm.id, startMs, endMs: startMs + kind.durationMs };
                }),
        ),
    );

const MEAN_UTILISATION = 0.5;
const NOISE = 0.25;
const PEAK_FACTOR = 1.9;
const PEAK_PROBABILITY = 0.08;
const HOUR_MS = 60 * MINUTE_MS;

export interface DemandOptions {
    readonly pool: Pool;
    readonly seed: number;
    readonly timeMs: number;
}

/**
 * Returns the slots that a pool needs, averaged over a minute: half of its slots, with random noise per minute. In
 * about one hour of twelve (`PEAK_PROBABILITY`), the mean is `PEAK_FACTOR` times as high. Bursts of seconds are not
 * modelled, because the average removes them.
 */
export const simulatedDemand = ({ pool, seed, timeMs }: DemandOptions): number => {
    const minute = Math.floor(timeMs / MINUTE_MS);
    const hour = Math.floor(timeMs / HOUR_MS);
    const isPeak = seededFraction(seed, `peak/${pool.name}/${hour}`) < PEAK_PROBABILITY;
    const mean = MEAN_UTILISATION * (isPeak ? PEAK_FACTOR : 1);
    const noise = 1 + NOISE * (2 * seededFraction(seed, `noise/${pool.name}/${minute}`) - 1);
    return pool.spare ? 0 : pool.vms.length * pool.slotsPerVm * mean * noise;
};

const MIN_DRAIN_MS = 20_000;
const MAX_DRAIN_MS = 10 * MINUTE_MS;
const MIN_REBOOT_MS = 3 * MINUTE_MS;
const REBOOT_SPREAD_MS = 3 * MINUTE_MS;

/** Time until the last request on a VM ends: mostly short, at most ten minutes. */
export const simulatedDrainMs = (seed: number, vm: VmId): number =>
    MIN_DRAIN_MS + seededFraction(seed, `drain/${vm}`) ** 4 * (MAX_DRAIN_MS - MIN_DRAIN_MS);

/** Time for which a VM is unavailable while it reboots. */
export const simulatedRebootMs = (seed: number, vm: VmId): number =>
    MIN_REBOOT_MS + seededFraction(seed, `reboot/${vm}`) * REBOOT_SPREAD_MS;
