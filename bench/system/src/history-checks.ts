import { readFileSync } from "node:fs";
import { join } from "node:path";
import { isDeepStrictEqual } from "node:util";
import type { EditRecord } from "@almondusher/fleet/edit";
import type { Platform } from "@almondusher/platform/create-platform";
import { readHistory } from "@almondusher/platform/read-history";
import { readHead } from "@almondusher/platform/read-state";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

interface LeaseTerm {
    readonly processId: string;
    readonly epoch: number;
}

interface SnapshotRows {
    readonly assignments: readonly { readonly vm: string }[];
}

/** All accepted edits so far. */
const readWholeHistory = async (platform: Platform): Promise<readonly EditRecord[]> => {
    const head = await readHead(platform);
    return head === undefined ? [] : readHistory(platform, { fromRevision: 1, toRevision: head.revision });
};

/** Terms of all managers in the order of their epochs, from the logs. */
const readTerms = (deployment: Deployment): readonly LeaseTerm[] =>
    deployment.managers
        .flatMap((manager, index) =>
            readFileSync(join(deployment.folder, `manager-${index + 1}.log`), "utf8").split("\n"),
        )
        .filter(line => line.includes('"event":"lease-taken"'))
        .map(line => JSON.parse(line) as LeaseTerm)
        .sort((left, right) => left.epoch - right.epoch);

/** Edits of managers that stand in the history after an edit of a later epoch. */
const findLateEdits = (history: readonly EditRecord[], terms: readonly LeaseTerm[]): readonly string[] => {
    const search = { term: 0, late: [] as string[] };
    history
        .filter(record => record.author.kind === "manager")
        .forEach(record => {
            const next = terms.findIndex(
                (term, index) => index >= search.term && term.processId === record.author.name,
            );
            if (next < 0) {
                search.late.push(
                    `revision ${record.revision} by ${record.author.name} follows an edit of a later epoch`,
                );
            } else {
                search.term = next;
            }
        });
    return search.late;
};

/** Edits that do not continue the rows of the edits before them. */
const findBrokenChains = (history: readonly EditRecord[]): readonly string[] => {
    const rows = new Map<string, unknown>();
    return history.flatMap(record =>
        record.changes.flatMap(change => {
            const id = `${change.table} ${change.key}`;
            const continues = isDeepStrictEqual(rows.get(id), change.before);
            rows.set(id, change.after);
            return continues ? [] : [`revision ${record.revision} does not continue ${id}`];
        }),
    );
};

/** VMs with more than one assignment in a snapshot as it is stored. */
const findDoubleRows = async (platform: Platform, record: EditRecord): Promise<readonly string[]> => {
    const { objectUrl, bucket } = platform.settings;
    const response = await request(`${objectUrl}/${bucket}/${record.snapshotKey}`);
    const { assignments } = (await response.body.json()) as SnapshotRows;
    const vms = assignments.map(row => row.vm);
    return vms
        .filter((vm, index) => vms.indexOf(vm) !== index)
        .map(vm => `revision ${record.revision} has more than one row for ${vm}`);
};

/** Faults of the history: edits of an older epoch after a newer one, rows that do not continue, two rows for a VM. */
export const checkHistory = async (deployment: Deployment, platform: Platform): Promise<readonly string[]> => {
    const history = await readWholeHistory(platform);
    const doubles = await Promise.all(history.map(record => findDoubleRows(platform, record)));
    return [...findLateEdits(history, readTerms(deployment)), ...findBrokenChains(history), ...doubles.flat()];
};
