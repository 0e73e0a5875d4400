import { readFileSync } from "node:fs";
import { join } from "node:path";
import { isDeepStrictEqual } from "node:util";
import type { EditRecord } from "@almondusher/fleet/edit";
import type { Platform } from "@almondusher/platform/create-platform";
import { readHistory } from "@almondusher/platform/read-history";
import { readHead } from "@almondusher/platform/read-state";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

interface LeaseAcquisition {
    readonly processId: string;
    readonly epoch: number;
}

interface SnapshotRows {
    readonly assignments: readonly { readonly vm: string }[];
}

/** Reads all accepted edits. */
const readWholeHistory = async (platform: Platform): Promise<readonly EditRecord[]> => {
    const head = await readHead(platform);
    return head === undefined ? [] : readHistory(platform, { fromRevision: 1, toRevision: head.revision });
};

/** Lease acquisitions of all managers by ascending epoch, read from their logs. */
const readLeaseAcquisitions = (deployment: Deployment): readonly LeaseAcquisition[] =>
    deployment.managers
        .flatMap((manager, index) =>
            readFileSync(join(deployment.folder, `manager-${index + 1}.log`), "utf8").split("\n"),
        )
        .filter(line => line.includes('"event":"lease-taken"'))
        .map(line => JSON.parse(line) as LeaseAcquisition)
        .sort((left, right) => left.epoch - right.epoch);

/** Finds edits of managers that were accepted after an edit of a later lease epoch. */
const findEditsOfOlderEpochs = (
    history: readonly EditRecord[],
    acquisitions: readonly LeaseAcquisition[],
): readonly string[] => {
    const search = { acquisitionIndex: 0, late: [] as string[] };
    history
        .filter(record => record.author.kind === "manager")
        .forEach(record => {
            const next = acquisitions.findIndex(
                (acquisition, index) =>
                    index >= search.acquisitionIndex && acquisition.processId === record.author.name,
            );
            if (next < 0) {
                search.late.push(
                    `revision ${record.revision} by ${record.author.name} was accepted after an edit of a later lease epoch`,
                );
            } else {
                search.acquisitionIndex = next;
            }
        });
    return search.late;
};

/** Finds changes whose `before` row differs from the row left by the previous edits. */
const findInconsistentChanges = (history: readonly EditRecord[]): readonly string[] => {
    const rows = new Map<string, unknown>();
    return history.flatMap(record =>
        record.changes.flatMap(change => {
            const id = `${change.table} ${change.key}`;
            const matchesCurrentRow = isDeepStrictEqual(rows.get(id), change.before);
            rows.set(id, change.after);
            return matchesCurrentRow
                ? []
                : [`revision ${record.revision} changes ${id}, but its previous row is not the current one`];
        }),
    );
};

/** Finds VMs with more than one assignment in the stored snapshot of an edit. */
const findDuplicateAssignments = async (platform: Platform, record: EditRecord): Promise<readonly string[]> => {
    const { objectUrl, bucket } = platform.settings;
    const response = await request(`${objectUrl}/${bucket}/${record.snapshotKey}`);
    const { assignments } = (await response.body.json()) as SnapshotRows;
    const vms = assignments.map(row => row.vm);
    return vms
        .filter((vm, index) => vms.indexOf(vm) !== index)
        .map(vm => `revision ${record.revision} has more than one assignment for ${vm}`);
};

/** Returns edits of an outdated lease epoch, changes based on outdated rows, and duplicate assignments of a VM. */
export const checkHistory = async (deployment: Deployment, platform: Platform): Promise<readonly string[]> => {
    const history = await readWholeHistory(platform);
    const doubles = await Promise.all(history.map(record => findDuplicateAssignments(platform, record)));
    return [
        ...findEditsOfOlderEpochs(history, readLeaseAcquisitions(deployment)),
        ...findInconsistentChanges(history),
        ...doubles.flat(),
    ];
};
