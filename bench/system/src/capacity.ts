import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { applyTables } from "./apply-tables.js";
import { type Deployment, startDeployment } from "./deployment.js";
import { layOutVms } from "./fleet-layout.js";
import { fitLine } from "./linear-fit.js";
import { pollUntil, readDump } from "./operator-client.js";
import { type ProcessUsage, readUsage, type UsageRate, usageRate } from "./process-usage.js";
import type { SampleFleet } from "./sample-fleet.js";

const TARGET_VMS = 660;
const TARGET_POOLS = 96;
const TARGET_TEAMS = 130;
const ENTRIES = 7;
const DATA_CENTRES = ["rennes", "brest", "nantes", "torino", "milano", "verona"];
const START_TIMEOUT_MS = 60_000;
const SETTLE_MS = 8_000;
const EDIT_PERIOD_MS = 1_000;
const BYTES_PER_KB = 1000;
const BYTES_PER_MB = 1e6;

export interface CapacityOptions {
    /** Numbers of endpoint VMs to measure; pools and teams scale with them. */
    readonly sizes: readonly number[];
    /** Duration of each measurement. */
    readonly durationMs: number;
}

/** Highest resource usage among the processes of one role at one fleet size. */
interface Sample {
    readonly vms: number;
    readonly role: "entry" | "active manager" | "standby manager";
    readonly load: "at rest" | "one edit a second";
    readonly rate: UsageRate;
}

const fleetOf = (vms: number): SampleFleet => {
    const pools = Math.max(1, Math.round((TARGET_POOLS * vms) / TARGET_VMS));
    return {
        name: `capacity-${vms}`,
        dataCentres: DATA_CENTRES,
        services: Array.from({ length: pools }, (unused, index) => ({
            name: `pool-${index + 1}`,
            vms: Math.floor(vms / pools) + (index < vms % pools ? 1 : 0),
        })),
        vmsPerRack: 4,
        entries: ENTRIES,
    };
};

const tablesOf = (fleet: SampleFleet, vms: number, edit: number) => {
    const teams = Math.max(1, Math.round((TARGET_TEAMS * vms) / TARGET_VMS));
    const placed = layOutVms(fleet);
    return {
        routes: fleet.services.map((service, index) => ({
            name: service.name,
            pathPrefix: `/${service.name}`,
            pool: service.name,
            team: `team-${(index % teams) + 1}`,
            timeoutMs: 60_000 + (index === 0 ? edit : 0),
        })),
        pools: fleet.services.map((service, index) => ({
            name: service.name,
            vms: placed.filter(vm => vm.service === service.name).map(vm => vm.id),
            minAvailable: Math.max(0, service.vms - 2),
            quotas: Array.from({ length: teams }, (unused, team) => team)
                .filter(team => team % fleet.services.length === index)
                .map(team => ({ team: `team-${team + 1}`, slots: 16 })),
        })),
    };
};

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

interface MeasuredProcess {
    readonly role: Sample["role"];
    readonly pid: number;
}

const listProcesses = async (deployment: Deployment): Promise<readonly MeasuredProcess[]> => {
    const managers = await Promise.all(
        deployment.managers.map(async manager => {
            const dump = (await readDump(deployment, manager.operatorUrl)) as unknown as {
                sections: { role: { kind: string } };
            };
            const role: Sample["role"] = dump.sections.role.kind === "active" ? "active manager" : "standby manager";
            return { role, pid: manager.child.process.pid ?? 0 };
        }),
    );
    const entries = deployment.entries.map(entry => ({ role: "entry" as const, pid: entry.child.process.pid ?? 0 }));
    return [...entries, ...managers];
};

const measureRates = async (processes: readonly MeasuredProcess[], work: Promise<void>) => {
    const before = new Map<number, ProcessUsage>(processes.map(({ pid }) => [pid, readUsage(pid)]));
    await work;
    return processes.map(({ role, pid }) => {
        const earlier = before.get(pid);
        return { role, rate: usageRate(earlier ?? readUsage(pid), readUsage(pid)) };
    });
};

const maxRates = (
    vms: number,
    load: Sample["load"],
    rates: Awaited<ReturnType<typeof measureRates>>,
): readonly Sample[] =>
    [...new Set(rates.map(({ role }) => role))].map(role => {
        const own = rates.filter(rate => rate.role === role).map(({ rate }) => rate);
        return {
            vms,
            role,
            load,
            rate: {
                coreShare: Math.max(...own.map(rate => rate.coreShare)),
                residentBytes: Math.max(...own.map(rate => rate.residentBytes)),
                readBytesPerSecond: Math.max(...own.map(rate => rate.readBytesPerSecond)),
                writtenBytesPerSecond: Math.max(...own.map(rate => rate.writtenBytesPerSecond)),
            },
        };
    });

const editRepeatedly = async (deployment: Deployment, fleet: SampleFleet, vms: number, durationMs: number) => {
    const startedAt = performance.now();
    for (let edit = 1; performance.now() - startedAt < durationMs; edit += 1) {
        await applyTables(deployment, tablesOf(fleet, vms, edit));
        await sleep(Math.max(0, startedAt + edit * EDIT_PERIOD_MS - performance.now()));
    }
};

const measureSize = async (vms: number, durationMs: number): Promise<readonly Sample[]> => {
    const fleet = fleetOf(vms);
    const folder = mkdtempSync(join(tmpdir(), "almondusher-capacity-"));
    const deployment = await startDeployment({ fleet, folder, managerSettings: { planner: { listLagMs: 0 } } });
    try {
        await applyTables(deployment, tablesOf(fleet, vms, 0));
        await pollUntil({
            what: `${vms} VMs assigned`,
            timeoutMs: START_TIMEOUT_MS,
            read: async () => {
                const dump = await readDump(deployment, deployment.entries[0]?.operatorUrl ?? "");
                return dump.sections.assignments.length === vms ? true : undefined;
            },
        });
        await sleep(SETTLE_MS);
        const processes = await listProcesses(deployment);
        const atRest = await measureRates(processes, sleep(durationMs));
        const withEdits = await measureRates(processes, editRepeatedly(deployment, fleet, vms, durationMs));
        return [...maxRates(vms, "at rest", atRest), ...maxRates(vms, "one edit a second", withEdits)];
    } finally {
        await deployment.stop();
    }
};

const columns = [
    { name: "core %", read: (rate: UsageRate) => rate.coreShare * 100 },
    { name: "memory MB", read: (rate: UsageRate) => rate.residentBytes / BYTES_PER_MB },
    { name: "read KB/s", read: (rate: UsageRate) => rate.readBytesPerSecond / BYTES_PER_KB },
    { name: "written KB/s", read: (rate: UsageRate) => rate.writtenBytesPerSecond / BYTES_PER_KB },
] as const;

const printSamples = (samples: readonly Sample[]): void => {
    console.log(`| role | load | VMs | ${columns.map(column => column.name).join(" | ")} |`);
    console.log(`|---|---|---|${columns.map(() => "---|").join("")}`);
    samples.forEach(({ role, load, vms, rate }) =>
        console.log(
            `| ${role} | ${load} | ${vms} | ${columns.map(column => column.read(rate).toFixed(2)).join(" | ")} |`,
        ),
    );
};

const printFits = (samples: readonly Sample[]): void => {
    console.log(
        `\n| role | load | figure | at 0 VMs | per 100 VMs | at ${TARGET_VMS} VMs | largest error of the fit |`,
    );
    console.log("|---|---|---|---|---|---|---|");
    const groups = [...new Set(samples.map(({ role, load }) => `${role} | ${load}`))];
    groups.forEach(group =>
        columns.forEach(column => {
            const points = samples
                .filter(({ role, load }) => `${role} | ${load}` === group)
                .map(({ vms, rate }) => ({ x: vms, y: column.read(rate) }));
            const fit = fitLine(points);
            const target = fit.intercept + fit.slope * TARGET_VMS;
            const figures = [fit.intercept.toFixed(2), (fit.slope * 100).toFixed(3), target.toFixed(2)];
            console.log(`| ${group} | ${column.name} | ${figures.join(" | ")} | ${(fit.maxError * 100).toFixed(0)}% |`);
        }),
    );
};

/** Measures the resource usage of entries and managers at several fleet sizes and prints linear fits as Markdown. */
export const runCapacity = async ({ sizes, durationMs }: CapacityOptions): Promise<void> => {
    const samples: Sample[] = [];
    for (const size of sizes) {
        samples.push(...(await measureSize(size, durationMs)));
    }
    printSamples(samples);
    printFits(samples);
};
