import type { VmId } from "@almondusher/fleet/ids";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import {
    CANDIDATE_PART,
    candidateRow,
    candidateVm,
    decodeCandidate,
    encodeCandidate,
    type CandidateContent,
} from "./candidate-rows.js";
import { LEASE_TABLE } from "./lease-rows.js";
import { readAll, type CompleteRange } from "../store/read-all.js";

interface Candidate extends CandidateContent {
    readonly vm: VmId;
}

/** The candidates for leases as this process has read them. */
export interface CandidateView {
    readonly all: () => readonly Candidate[];
    /** Records changed rows of the table of the leases; rows of leases are ignored. */
    readonly observe: (rows: readonly Row[]) => void;
    /** Makes the next `load` read all rows again. */
    readonly invalidate: () => void;
    /** Reads all rows unless changes of earlier ones are followed; resolves to false if the store failed. */
    readonly load: () => Promise<boolean>;
    /** Stores the content of a VM's row unless the row already has it; resolves to true if a write was tried. */
    readonly announce: (vm: VmId, content: CandidateContent) => Promise<boolean>;
    /** Removes the rows of VMs, unless they have changed since they were read. */
    readonly remove: (vms: readonly VmId[]) => Promise<void>;
}

export type CandidateViewOptions = Pick<TableStore, "read" | "transact">;

/** Creates the view; nothing is read before `load`. */
export const createCandidateView = (store: CandidateViewOptions): CandidateView => {
    const rows = new Map<VmId, Row>();
    const candidates = new Map<VmId, Candidate>();
    let loaded = false;

    const setCandidate = (vm: VmId, content: CandidateContent | undefined): void => {
        if (content === undefined) {
            candidates.delete(vm);
        } else {
            candidates.set(vm, { vm, ...content });
        }
    };
    const observe = (changed: readonly Row[]): void =>
        changed.forEach(row => {
            const vm = candidateVm(row.key);
            if (vm !== undefined && (rows.get(vm)?.version ?? 0) < row.version) {
                rows.set(vm, row);
                setCandidate(vm, row.deleted ? undefined : decodeCandidate(row.value));
            }
        });
    // Changes after the state of the range may have been observed while it was read.
    const forgetOlder = ({ asOf }: CompleteRange): void =>
        [...rows.values()]
            .filter(({ version }) => version <= asOf.version)
            .map(({ key }) => candidateVm(key))
            .filter(vm => vm !== undefined)
            .forEach(vm => {
                rows.delete(vm);
                candidates.delete(vm);
            });
    const versionOf = (vm: VmId): number => {
        const row = rows.get(vm);
        return row === undefined || row.deleted ? 0 : row.version;
    };
    const commit = async (vms: readonly VmId[], value: string | undefined): Promise<void> => {
        const keys = vms.map(candidateRow);
        const result = await store.transact({
            expect: vms.map(vm => ({ ...candidateRow(vm), version: versionOf(vm) })),
            writes: value === undefined ? [] : keys.map(key => ({ ...key, value })),
            removals: value === undefined ? keys : [],
        });
        switch (result.kind) {
            case "committed":
                observe(
                    keys.map(key => ({
                        ...key,
                        value: value ?? "",
                        version: result.version,
                        deleted: value === undefined,
                    })),
                );
                break;
            case "conflict":
                observe(result.rows);
                break;
            case "not-run":
            case "rejected":
            case "unknown":
                break;
        }
    };
    return {
        all: () => [...candidates.values()],
        observe,
        invalidate: () => {
            loaded = false;
        },
        load: async () => {
            if (loaded) {
                return true;
            }
            const range = await readAll(store, { table: LEASE_TABLE, part: CANDIDATE_PART });
            if (range === undefined) {
                return false;
            }
            forgetOlder(range);
            observe(range.rows);
            loaded = true;
            return true;
        },
        announce: async (vm, content) => {
            const value = encodeCandidate(content);
            if (versionOf(vm) > 0 && rows.get(vm)?.value === value) {
                return false;
            }
            await commit([vm], value);
            return true;
        },
        remove: async vms => {
            const present = vms.filter(vm => versionOf(vm) > 0);
            if (present.length > 0) {
                await commit(present, undefined);
            }
        },
    };
};
