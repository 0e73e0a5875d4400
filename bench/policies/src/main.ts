import { mkdirSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { parseArgs } from "node:util";
import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { createRendezvous } from "@almondusher/slots/rendezvous";
import { plotRatios } from "./plot.js";
import { formatReport, type Table } from "./report.js";
import { compareVariants } from "./scenario.js";
import { type Summary, summarize } from "./summary.js";
import { comparisons } from "./variants.js";

/** One comparison to be run by a worker thread. */
interface ComparisonTask {
    readonly index: number;
    readonly seed: number;
}

const DEFAULT_SEED = 1;
const MAX_WORKERS = 4;
const COMMAND = "npm run bench -w @almondusher/policy-bench";

const runComparison = async ({ index, seed }: ComparisonTask): Promise<readonly Summary[]> => {
    const comparison = comparisons[index];
    if (comparison === undefined) {
        return [];
    }
    const { installation, profile, variants } = comparison;
    const rendezvous = await createRendezvous();
    return compareVariants(installation, { variants, profile, seed, rendezvous }).map(summarize);
};

const runInWorker = (task: ComparisonTask): Promise<readonly Summary[]> =>
    new Promise((succeed, fail) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: task });
        worker.once("message", succeed);
        worker.once("error", fail);
    });

// Starts with the largest comparisons, which are last in the list, so that none of them runs alone at the end.
const runAll = async (seed: number, filter: string): Promise<readonly Table[]> => {
    const tasks = comparisons.map((comparison, index) => ({ comparison, index }));
    const remaining = tasks.filter(({ comparison }) => nameOf(comparison).includes(filter)).toReversed();
    const tables = new Map<number, Table>();
    const work = async (): Promise<void> => {
        const task = remaining.shift();
        if (task !== undefined) {
            const { installation, profile, topic } = task.comparison;
            const rows = await runInWorker({ index: task.index, seed });
            tables.set(task.index, { installation: installation.name, profile, topic, rows });
            console.log(`finished ${nameOf(task.comparison)}`);
            await work();
        }
    };
    await Promise.all(Array.from({ length: MAX_WORKERS }, work));
    return [...tables].toSorted(([left], [right]) => left - right).map(([, table]) => table);
};

const nameOf = ({ installation, profile, topic }: (typeof comparisons)[number]): string =>
    `${installation.name}, ${profile}: ${topic}`;

const runMain = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            folder: { type: "string", default: ".run" },
            seed: { type: "string", default: String(DEFAULT_SEED) },
            only: { type: "string", default: "" },
        },
    });
    const seed = Number(values.seed);
    if (!Number.isSafeInteger(seed)) {
        throw new Error(`--seed must be a whole number, got ${values.seed}`);
    }
    const tables = await runAll(seed, values.only);
    // npm runs the script in the package directory; INIT_CWD is the directory in which npm was called.
    const folder = resolve(process.env["INIT_CWD"] ?? ".", values.folder);
    mkdirSync(folder, { recursive: true });
    const date = new Date().toISOString().slice(0, "yyyy-mm-dd".length);
    const command = seed === DEFAULT_SEED ? COMMAND : `${COMMAND} -- --seed ${seed}`;
    writeFileSync(resolve(folder, "policies.md"), formatReport(tables, { command, seed, date }));
    writeFileSync(resolve(folder, "policies.svg"), plotRatios(tables));
    console.log(`wrote ${resolve(folder, "policies.md")} and policies.svg`);
};

if (isMainThread) {
    await runMain();
} else {
    parentPort?.postMessage(await runComparison(workerData as ComparisonTask));
}
