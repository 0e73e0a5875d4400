import type { Row, Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { decodeLease, leaseRow } from "./lease-rows.js";

/** A process that writes leases, as far as the outcome of its transactions depends on it. */
export type LeaseWriter = Pick<DispatcherContext, "process" | "store" | "monotonicMs">;

export interface RepeatedTransaction {
    readonly writer: LeaseWriter;
    readonly transaction: Transaction;
    /** Monotonic time after which the transaction is not repeated, in milliseconds. */
    readonly endMs: number;
}

/** The release of a lease that this process holds. */
export interface LeaseRelease {
    readonly writer: LeaseWriter;
    readonly key: string;
    /** Fencing token under which this process holds the lease. */
    readonly epoch: number;
    /** Version of the lease row. */
    readonly version: number;
    /** Encoded record without a holder. */
    readonly value: string;
    /** True once another process may acquire the lease without the release. */
    readonly mayBeTakenOver: () => boolean;
}

const REPEAT_DELAY_MS = 50;

/** Returns the version of a lease row that this process has written under the epoch; undefined for any other row. */
export const versionIfOwn = (
    { process }: Pick<LeaseWriter, "process">,
    row: Row | undefined,
    epoch: number,
): number | undefined => {
    const record = row === undefined ? undefined : decodeLease(row.value);
    return row !== undefined && record?.process === process && record.epoch === epoch ? row.version : undefined;
};

/**
 * Repeats a transaction with an unknown outcome unchanged. If an earlier attempt was applied, a later one conflicts with
 * the row that it wrote.
 */
export const transactUntilKnown = async (repeated: RepeatedTransaction): Promise<TransactionResult> => {
    const { writer, transaction, endMs } = repeated;
    const commit = await writer.store.transact(transaction);
    if (commit.kind !== "unknown" || writer.monotonicMs() >= endMs) {
        return commit;
    }
    await sleep(REPEAT_DELAY_MS);
    return transactUntilKnown(repeated);
};

/** Releases a lease. Repeats the write until its outcome is known or does not matter; resolves to whether it took effect. */
export const writeRelease = async (release: LeaseRelease): Promise<boolean> => {
    const { writer, key, epoch, version, value, mayBeTakenOver } = release;
    const row = leaseRow(key);
    const commit = await writer.store.transact({ expect: [{ ...row, version }], writes: [{ ...row, value }] });
    switch (commit.kind) {
        case "committed":
            return true;
        case "conflict": {
            const [current] = commit.rows;
            const ownVersion = versionIfOwn(writer, current, epoch);
            return ownVersion === undefined
                ? current?.value === value
                : writeRelease({ ...release, version: Math.max(version, ownVersion) });
        }
        case "not-run":
        case "rejected":
        case "unknown":
            if (mayBeTakenOver()) {
                return false;
            }
            await sleep(REPEAT_DELAY_MS);
            return writeRelease(release);
    }
};
