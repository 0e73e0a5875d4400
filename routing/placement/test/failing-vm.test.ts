import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreName, type RackName, type VmId, toId } from "@almondusher/fleet/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseVm } from "../src/choose-vm.js";
import { type Ejections, recordProbe, updateEjections } from "../src/ejection.js";
import {
    createVmHealth,
    clearVmHealth,
    recordOutcome,
    vmFailureRate,
    attributedVmFailures,
    vmLatency,
    vmWeight,
} from "../src/vm-health.js";

const SEED = 11;
const SLOTS = 8;
const VMS = Array.from({ length: 8 }, (unused, index) => toId<VmId>(`vm-${index}`));
const FAILING = VMS[0];
const DATA_CENTRE = toId<DataCentreName>("dc-1");
const MEAN_WORK_MS = 100;
const FAST_FAILURE_MS = 1;
// Arrival interval that keeps 70% of the slots of eight VMs in use.
const MEAN_ARRIVAL_MS = MEAN_WORK_MS / (VMS.length * SLOTS * 0.7);
const END_MS = 60_000;
const TICK_MS = 500;

interface Policy {
    readonly weighted: boolean;
    readonly ejecting: boolean;
}

interface Running {
    readonly vm: VmId;
    readonly job: string;
    readonly endsAt: number;
    readonly startedAt: number;
}

// Simulates requests in steps of one millisecond; a request that finds no free slot is not counted.
const simulate = ({ weighted, ejecting }: Policy) => {
    const random = xoroshiro128plus(SEED);
    const exponential = (mean: number): number => -mean * Math.log(1 - uniformFloat64(random));
    const health = createVmHealth();
    const inFlight = new Map<VmId, number>(VMS.map(vm => [vm, 0]));
    let ejections: Ejections = new Map();
    let running: Running[] = [];
    let served = 0;
    let lost = 0;
    let nextArrival = 0;
    const finish = ({ vm, job, endsAt, startedAt }: Running): void => {
        const success = vm !== FAILING;
        inFlight.set(vm, (inFlight.get(vm) ?? 0) - 1);
        served += 1;
        lost += success ? 0 : 1;
        const result = success ? "success" : "failure";
        recordOutcome(health, { vm, fingerprint: job, at: endsAt, result, latencyMs: endsAt - startedAt });
        ejections = recordProbe({ ejections, vm, success, now: endsAt });
    };
    const start = (now: number): void => {
        const vm = chooseVm({
            candidates: VMS.filter(candidate => ejections.get(candidate)?.phase !== "ejected").map(candidate => ({
                vm: candidate,
                dataCentre: DATA_CENTRE,
                slots: SLOTS,
                inFlight: inFlight.get(candidate) ?? 0,
                weight: weighted ? vmWeight(health, candidate, now) : 1,
                latencyMs: weighted ? vmLatency(health, candidate) : undefined,
                probing: ejections.has(candidate),
            })),
            dataCentre: DATA_CENTRE,
            mayProbe: true,
            random,
        });
        if (vm !== undefined) {
            const workMs = vm === FAILING ? FAST_FAILURE_MS : exponential(MEAN_WORK_MS);
            const job = `/job/${Math.floor(uniformFloat64(random) * 50)}`;
            inFlight.set(vm, (inFlight.get(vm) ?? 0) + 1);
            running.push({ vm, job, endsAt: now + workMs, startedAt: now });
        }
    };
    for (let now = 0; now < END_MS; now += 1) {
        running.filter(({ endsAt }) => endsAt <= now).forEach(finish);
        running = running.filter(({ endsAt }) => endsAt > now);
        for (; nextArrival <= now; nextArrival += exponential(MEAN_ARRIVAL_MS)) {
            start(now);
        }
        if (ejecting && now % TICK_MS === 0) {
            const candidates = VMS.map((vm, index) => ({
                vm,
                rack: toId<RackName>(`rack-${index % 4}`),
                dataCentre: toId<DataCentreName>(`dc-${index % 3}`),
                failureRate: vmFailureRate(health, vm, now),
                failures: attributedVmFailures(health, vm, now),
            }));
            ejections = updateEjections({ ejections, candidates, now });
        }
    }
    return { served, lost, share: lost / served };
};

test(`a VM that fails all requests immediately receives few of them (seed ${SEED})`, context => {
    const plain = simulate({ weighted: false, ejecting: false });
    const weighted = simulate({ weighted: true, ejecting: false });
    const ejecting = simulate({ weighted: true, ejecting: true });
    Object.entries({ plain, weighted, ejecting }).forEach(([name, { served, lost, share }]) =>
        context.diagnostic(`${name}: ${lost} of ${served} requests lost, ${(100 * share).toFixed(2)}%`),
    );
    // One failing VM of eight fails more than an eighth of the requests, because fast failures free its slots sooner.
    assert.ok(plain.share > 1 / VMS.length);
    assert.ok(weighted.share < 0.02);
    assert.ok(ejecting.share < 0.005);
});

test("failures of one request fingerprint on several VMs are not attributed to the VMs", () => {
    const health = createVmHealth();
    VMS.forEach(vm => {
        for (let at = 0; at < 1_000; at += 100) {
            recordOutcome(health, { vm, fingerprint: "good", at, result: "success", latencyMs: 10 });
            recordOutcome(health, { vm, fingerprint: "poison", at, result: "failure", latencyMs: 1 });
        }
    });
    VMS.forEach(vm => assert.ok(vmWeight(health, vm, 1_000) > 0.95, `${vm} ${vmWeight(health, vm, 1_000)}`));
});

test("failures of many fingerprints on one VM are attributed to it, even if another VM fails them too", () => {
    const health = createVmHealth();
    const bad = VMS.slice(0, 2);
    for (let index = 0; index < 20; index += 1) {
        VMS.forEach(vm =>
            recordOutcome(health, {
                vm,
                fingerprint: `job-${index}`,
                at: index * 10,
                result: bad.includes(vm) ? "failure" : "success",
                latencyMs: 10,
            }),
        );
    }
    VMS.forEach(vm => assert.equal(vmFailureRate(health, vm, 200) > 0.5, bad.includes(vm), vm));
});

test("cancellations do not lower the weight of a VM, and old failures decay", () => {
    const health = createVmHealth();
    const [vm] = VMS;
    assert.ok(vm !== undefined);
    for (let at = 0; at < 100; at += 1) {
        recordOutcome(health, { vm, fingerprint: `${at}`, at, result: "cancelled", latencyMs: 1 });
    }
    assert.equal(vmWeight(health, vm, 100), 1);
    for (let at = 0; at < 100; at += 1) {
        recordOutcome(health, { vm, fingerprint: `${at}`, at, result: "failure", latencyMs: 1 });
    }
    assert.ok(vmWeight(health, vm, 100) <= 0.02);
    assert.ok(vmWeight(health, vm, 100_000) > 0.9);
    clearVmHealth(health, vm);
    assert.equal(vmWeight(health, vm, 100), 1);
});
