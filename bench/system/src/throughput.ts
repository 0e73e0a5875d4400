import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { applyTables } from "./apply-tables.js";
import { startChild } from "./child-process.js";
import { type Deployment, programPath, startDeployment } from "./deployment.js";
import { layOutVms, sampleTables } from "./fleet-layout.js";
import { type LoadResult, runLoad } from "./load-client.js";
import { pollUntil, readDump } from "./operator-client.js";
import type { SampleFleet } from "./sample-fleet.js";

const START_TIMEOUT_MS = 20_000;
const WARM_UP_MS = 1_500;
const POOL = "letters";
const MEGABYTE = 1024 * 1024;
const STREAM_CONCURRENCY = 8;
const STREAM_BYTES = 10 * MEGABYTE;

export interface ThroughputOptions {
    readonly entries: number;
    readonly rounds: number;
    readonly durationMs: number;
    readonly concurrency: number;
    /** Response sizes to measure. */
    readonly workloads: readonly ("small" | "streams")[];
}

interface Variant {
    readonly name: string;
    readonly urls: readonly string[];
}

interface Workload {
    readonly name: string;
    readonly headers: Record<string, string>;
    readonly concurrency: number;
}

interface Row {
    readonly workload: string;
    readonly variant: string;
    readonly requestsPerSecond: number;
    readonly megabytesPerSecond: number;
    readonly p50Us: number;
    readonly p99Us: number;
    readonly failures: number;
}

const fleetOf = (entries: number): SampleFleet => ({
    name: "throughput",
    dataCentres: ["quimper"],
    services: [{ name: POOL, vms: 9 }],
    vmsPerRack: 4,
    entries,
});

const endpointUrls = (deployment: Deployment): readonly string[] => {
    const settings = JSON.parse(readFileSync(join(deployment.folder, "endpoints.json"), "utf8")) as {
        vms: readonly { port: number }[];
    };
    return settings.vms.map(vm => `http://127.0.0.1:${vm.port}`);
};

const median = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const toRow = (workload: Workload, variant: Variant, results: readonly LoadResult[]): Row => ({
    workload: workload.name,
    variant: variant.name,
    requestsPerSecond: median(results.map(result => result.requestsPerSecond)),
    megabytesPerSecond: median(results.map(result => result.bytesPerSecond)) / MEGABYTE,
    p50Us: median(results.map(result => result.latencies.getValueAtPercentile(50))),
    p99Us: median(results.map(result => result.latencies.getValueAtPercentile(99))),
    failures: results.reduce((sum, result) => sum + result.failures, 0),
});

const measure = async (workload: Workload, variants: readonly Variant[], options: ThroughputOptions) => {
    const results = new Map<string, LoadResult[]>(variants.map(variant => [variant.name, []]));
    const run = (variant: Variant, durationMs: number) =>
        runLoad({
            urls: variant.urls,
            path: `/${POOL}/1`,
            headers: workload.headers,
            concurrency: workload.concurrency,
            durationMs,
        });
    for (const variant of variants) {
        await run(variant, WARM_UP_MS);
    }
    // Alternates between the variants, so that changes in the machine's load affect all of them.
    for (let round = 0; round < options.rounds; round += 1) {
        for (const variant of variants) {
            results.get(variant.name)?.push(await run(variant, options.durationMs));
        }
    }
    return variants.map(variant => toRow(workload, variant, results.get(variant.name) ?? []));
};

const workloadOf = (kind: ThroughputOptions["workloads"][number], options: ThroughputOptions): Workload => {
    switch (kind) {
        case "small":
            return { name: "small answers", headers: {}, concurrency: options.concurrency };
        case "streams":
            return {
                name: "10 MB streams",
                headers: { "x-answer-bytes": String(STREAM_BYTES) },
                concurrency: STREAM_CONCURRENCY,
            };
    }
};

const printRows = (rows: readonly Row[]): void => {
    console.log("| workload | variant | requests/s | MB/s | p50 us | p99 us | failures | of proxy: throughput | p50 |");
    console.log("|---|---|---|---|---|---|---|---|---|");
    rows.forEach(row => {
        const proxy = rows.find(other => other.workload === row.workload && other.variant === "minimal proxy");
        const ratio = (value: number, base: number | undefined) => (value / (base ?? value)).toFixed(2);
        const columns = [
            row.workload,
            row.variant,
            row.requestsPerSecond.toFixed(0),
            row.megabytesPerSecond.toFixed(1),
            row.p50Us,
            row.p99Us,
            row.failures,
            ratio(row.requestsPerSecond, proxy?.requestsPerSecond),
            ratio(row.p50Us, proxy?.p50Us),
        ];
        console.log(`| ${columns.join(" | ")} |`);
    });
};

const startProxy = async (folder: string, targets: readonly string[]) => {
    const child = startChild({
        name: "minimal-proxy",
        script: programPath("system-bench", "minimal-proxy.js"),
        args: targets,
        logFile: join(folder, "minimal-proxy.log"),
    });
    const line = await child.waitForLine(text => text.includes('"ready"'), START_TIMEOUT_MS);
    return { child, url: `http://127.0.0.1:${(JSON.parse(line) as { port: number }).port}` };
};

/** Measures direct requests, a minimal proxy and almondusher in one run and prints a Markdown table. */
export const runThroughput = async (options: ThroughputOptions): Promise<void> => {
    const folder = mkdtempSync(join(tmpdir(), "almondusher-throughput-"));
    const fleet = fleetOf(options.entries);
    const deployment = await startDeployment({ fleet, folder, endpointSettings: { countRequests: false } });
    const targets = endpointUrls(deployment);
    const proxy = await startProxy(folder, targets);
    try {
        const edit = await applyTables(deployment, sampleTables(fleet));
        await pollUntil({
            what: "all VMs to be assigned in every entry",
            timeoutMs: START_TIMEOUT_MS,
            read: async () => {
                const dumps = await Promise.all(
                    deployment.entries.map(entry => readDump(deployment, entry.operatorUrl)),
                );
                return dumps.every(
                    dump =>
                        dump.revision > edit.state.revision &&
                        dump.sections.assignments.length === layOutVms(fleet).length,
                )
                    ? true
                    : undefined;
            },
        });
        const variants: readonly Variant[] = [
            { name: "direct", urls: targets },
            { name: "minimal proxy", urls: [proxy.url] },
            {
                name: options.entries === 1 ? "one entry" : `${options.entries} entries`,
                urls: deployment.entries.map(entry => entry.callerUrl),
            },
        ];
        const rows: Row[] = [];
        for (const workload of options.workloads) {
            rows.push(...(await measure(workloadOf(workload, options), variants, options)));
        }
        printRows(rows);
    } finally {
        proxy.child.process.kill("SIGTERM");
        await deployment.stop();
    }
};
