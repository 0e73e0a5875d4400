import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { writeFileSync } from "node:fs";
import { runCli } from "./run-cli.js";
import { demonstrateJobs } from "./demo-jobs.js";
import { type Deployment, startDeployment } from "./deployment.js";
import { layOutVms, sampleTables } from "./fleet-layout.js";
import { pollUntil, readDump } from "./operator-client.js";
import { lapidariaFleet, type SampleFleet, unionFleet } from "./sample-fleet.js";

const PROPAGATION_TIMEOUT_MS = 10_000;
const DRAIN_TIMEOUT_MS = 30_000;
const REQUESTS_PER_ENTRY = 50;
const HTTP_CONFLICT = 409;

const print = (text: string): void => console.log(text);

const applyByCli = async (deployment: Deployment, tables: object, reason: string): Promise<{ revision: number }> => {
    writeFileSync(deployment.tablesFile, JSON.stringify(tables, undefined, 4));
    return runCli(deployment, ["apply", deployment.tablesFile, "--reason", reason, "--author", "demo", "--yes"]);
};

const waitForRevision = (deployment: Deployment, revision: number) =>
    pollUntil({
        what: `revision ${revision} to be adopted by every entry`,
        timeoutMs: PROPAGATION_TIMEOUT_MS,
        read: async () => {
            const dumps = await Promise.all(deployment.entries.map(entry => readDump(deployment, entry.operatorUrl)));
            return dumps.every(dump => dump.revision >= revision) ? true : undefined;
        },
    });

const waitForServingVms = (deployment: Deployment, vms: number) =>
    pollUntil({
        what: `${vms} serving VMs in the dump of every entry`,
        timeoutMs: PROPAGATION_TIMEOUT_MS,
        read: async () => {
            const dumps = await Promise.all(deployment.entries.map(entry => readDump(deployment, entry.operatorUrl)));
            const serving = dumps.map(
                dump => dump.sections.assignments.filter(row => row.phase.kind === "serving").length,
            );
            return serving.every(count => count >= vms) ? true : undefined;
        },
    });

const requestStatus = async (url: string): Promise<number> => {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode;
};

const sendRequests = async (deployment: Deployment, path: string): Promise<readonly number[]> => {
    const statuses = await Promise.all(
        deployment.entries.flatMap(entry =>
            Array.from({ length: REQUESTS_PER_ENTRY }, () => requestStatus(`${entry.callerUrl}${path}`)),
        ),
    );
    return statuses;
};

const postWithKey = async (url: string, key: string) => {
    const response = await request(url, { method: "POST", body: "{}", headers: { "idempotency-key": key } });
    await response.body.dump();
    return response.statusCode;
};

const expect = (condition: boolean, message: string): void => {
    if (!condition) {
        throw new Error(message);
    }
    print(`ok    ${message}`);
};

const showRepeatedKey = async (deployment: Deployment, path: string): Promise<void> => {
    const [first, second] = deployment.entries;
    const key = "order-4711";
    const firstStatus = await postWithKey(`${first?.callerUrl ?? ""}${path}`, key);
    const repeatStatus = await postWithKey(`${second?.callerUrl ?? ""}${path}`, key);
    expect(
        firstStatus === 200 && repeatStatus === HTTP_CONFLICT,
        "a repeated order through another entry is refused with 409 and not run again",
    );
};

const showDrain = async (deployment: Deployment, fleet: SampleFleet, tables: ReturnType<typeof sampleTables>) => {
    const pool = tables.pools.find(row => row.name === fleet.services[0]?.name);
    const spare = tables.pools.find(row => row.spare);
    const vm = spare?.vms.at(-1) ?? "";
    const moved = {
        ...tables,
        pools: tables.pools.map(row => ({
            ...row,
            vms: row === pool ? [...row.vms, vm] : row.vms.filter(id => id !== vm),
        })),
    };
    const startedAt = performance.now();
    const edit = await applyByCli(deployment, moved, "move a spare VM");
    await waitForRevision(deployment, edit.revision);
    print(`ok    revision ${edit.revision} in force everywhere after ${elapsed(startedAt)}`);
    await pollUntil({
        what: `${vm} to serve ${pool?.name ?? ""}`,
        timeoutMs: DRAIN_TIMEOUT_MS,
        read: async () => {
            const dump = await readDump(deployment, deployment.entries[0]?.operatorUrl ?? "");
            const row = dump.sections.assignments.find(assignment => assignment.vm === vm);
            return row?.pool === pool?.name && row?.phase.kind === "serving" ? true : undefined;
        },
    });
    print(`ok    ${vm} drained and moved to ${pool?.name ?? ""} after ${elapsed(startedAt)}`);
};

const elapsed = (startedAt: number): string => `${((performance.now() - startedAt) / 1000).toFixed(1)} s`;

interface HistoryRow {
    readonly revision: number;
    readonly author: { readonly kind: string; readonly name: string };
    readonly reason: string;
}

const showHistory = async (deployment: Deployment): Promise<void> => {
    const history = await runCli<{ edits?: readonly HistoryRow[] } | readonly HistoryRow[]>(deployment, ["history"]);
    const rows = "length" in history ? history : (history.edits ?? []);
    rows.forEach(row => print(`edit ${row.revision} by ${row.author.kind} ${row.author.name}: ${row.reason}`));
};

const summarize = async (deployment: Deployment): Promise<void> => {
    const dumps = await Promise.all(deployment.entries.map(entry => readDump(deployment, entry.operatorUrl)));
    print("entry      revision  answers  rejections  memory MB  CPU of one core");
    dumps.forEach((dump, index) => {
        const sum = (name: string) =>
            dump.sections.counters.filter(row => row.name === name).reduce((total, row) => total + row.value, 0);
        const columns = [
            (deployment.entries[index]?.vmId ?? "").padEnd(9),
            String(dump.revision).padStart(9),
            String(sum("answers")).padStart(8),
            String(sum("rejections")).padStart(11),
            String(Math.round(dump.memory.residentBytes / 1e6)).padStart(10),
            `${(dump.cpu.coreShare * 100).toFixed(1)}%`.padStart(16),
        ];
        print(columns.join(" "));
    });
};

const runFleet = async (fleet: SampleFleet, folder: string): Promise<void> => {
    print(
        `${fleet.name}: ${layOutVms(fleet).length} endpoint VMs, ${fleet.entries} entries, 2 managers; logs in ${folder}`,
    );
    const deployment = await startDeployment({ fleet, folder, managerSettings: { planner: { listLagMs: 0 } } });
    try {
        const tables = sampleTables(fleet);
        const startedAt = performance.now();
        const edit = await applyByCli(deployment, tables, "first tables");
        await waitForRevision(deployment, edit.revision);
        await waitForServingVms(deployment, layOutVms(fleet).length);
        print(`ok    first tables in force and all VMs assigned after ${elapsed(startedAt)}`);
        const path = tables.routes[0]?.pathPrefix ?? "/";
        const statuses = await sendRequests(deployment, path);
        expect(
            statuses.every(status => status === 200),
            `${statuses.length} requests through ${fleet.entries} entries were answered`,
        );
        await showRepeatedKey(deployment, tables.routes[2]?.pathPrefix ?? "/");
        const traffic = sendRequests(deployment, path);
        await showDrain(deployment, fleet, tables);
        expect(
            (await traffic).every(status => status === 200),
            "requests during the edit were answered",
        );
        await showHistory(deployment);
        await summarize(deployment);
    } finally {
        await deployment.stop();
    }
};

/** Runs the demo on both sample fleets and then on jobs; throws at the first failed expectation. */
export const runDemo = async (): Promise<void> => {
    const folder = mkdtempSync(join(tmpdir(), "almondusher-demo-"));
    await runFleet(unionFleet, join(folder, "union"));
    await runFleet(lapidariaFleet, join(folder, "lapidaria"));
    await demonstrateJobs({ print, expect });
    print("done");
};
