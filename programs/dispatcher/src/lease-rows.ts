import { z } from "zod";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId, QueueName } from "@almondusher/jobs/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import type { RowKey } from "@almondusher/platform-adapter/table-store";

/** What a lease is for. */
export type LeaseSubject = { readonly kind: "pool"; readonly pool: PoolName } | { readonly kind: "fleet" };

/** An executor that may hold runs of the lease's holder. */
export interface AnnouncedExecutor {
    readonly id: ExecutorId;
    readonly address: string;
}

/** Accepted jobs of a queue that have not started. */
interface PendingCount {
    readonly queue: QueueName;
    readonly jobs: number;
}

/** Stored content of a lease. */
export interface LeaseRecord {
    /** Undefined after a planned stop. */
    readonly holder: VmId | undefined;
    readonly process: ProcessId | undefined;
    /** Fencing token; rises with every change of the holder. */
    readonly epoch: number;
    readonly executors: readonly AnnouncedExecutor[];
    readonly pending: readonly PendingCount[];
}

const LEASE_TABLE = "leases";
const LEASE_PART = "leases";
const FLEET_KEY = "fleet";
const POOL_KEY_PREFIX = "pool/";

const schema = z.object({
    holder: z.string().optional(),
    process: z.string().optional(),
    epoch: z.int(),
    executors: z.array(z.object({ id: z.string(), address: z.string() })),
    pending: z.array(z.object({ queue: z.string(), jobs: z.int() })),
});

/** Range of all leases. */
export const LEASE_RANGE = { table: LEASE_TABLE, part: LEASE_PART };

/** Key of a lease. */
export const leaseKey = (subject: LeaseSubject): string =>
    subject.kind === "fleet" ? FLEET_KEY : POOL_KEY_PREFIX + subject.pool;

/** Row of a lease. */
export const leaseRow = (key: string): RowKey => ({ table: LEASE_TABLE, part: LEASE_PART, key });

/** Encodes a lease for the store. */
export const encodeLease = (record: LeaseRecord): string => JSON.stringify(record);

/** Decodes a stored lease; undefined if it is not readable. */
export const decodeLease = (text: string): LeaseRecord | undefined =>
    schema.safeParse(parseJson(text)).data as LeaseRecord | undefined;
