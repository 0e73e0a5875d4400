import { z } from "zod";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId, QueueName } from "@almondusher/jobs/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import type { PoolDemand } from "@almondusher/scheduler/demand";
import type { RowKey } from "@almondusher/platform-adapter/table-store";

/** What a lease is for. */
export type LeaseSubject = { readonly kind: "pool"; readonly pool: PoolName } | { readonly kind: "fleet" };

/** An executor that may hold runs of the lease's holder. */
export interface AnnouncedExecutor {
    readonly id: ExecutorId;
    readonly address: string;
}

/** Accepted jobs of a queue that have not started. */
export interface PendingCount {
    readonly queue: QueueName;
    readonly jobs: number;
}

/** A VM that its pool is to vacate. */
interface Evacuation {
    readonly vm: VmId;
    /** Tells the evacuations of a VM apart. */
    readonly id: string;
    /** Time on the store's clock by which tasks that can move have to be gone, in milliseconds. */
    readonly byMs: number;
    /** An order for the VM was or is being sent, and may still arrive. */
    readonly ordered: boolean;
}

/** VMs of a wave whose maintenance has begun. */
interface MaintainedVms {
    readonly wave: number;
    readonly vms: readonly VmId[];
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
    /** Evacuations whose VM holds no runs and gets none. */
    readonly vacated: readonly string[];
    /** How many VMs the pool needs; undefined until its scheduler knows. */
    readonly demand: PoolDemand | undefined;
    /** Only in the lease of the fleet manager. */
    readonly evacuations: readonly Evacuation[];
    /** Only in the lease of the fleet manager. */
    readonly maintained: readonly MaintainedVms[];
}

/** Table of the leases. */
export const LEASE_TABLE = "leases";
const FLEET_KEY = "fleet";
const POOL_KEY_PREFIX = "pool/";

const schema = z.object({
    holder: z.string().optional(),
    process: z.string().optional(),
    epoch: z.int(),
    executors: z.array(z.object({ id: z.string(), address: z.string() })),
    pending: z.array(z.object({ queue: z.string(), jobs: z.int() })),
    vacated: z.array(z.string()),
    demand: z
        .object({
            neededVms: z.int(),
            wantedVms: z.int(),
            removable: z.array(z.string()),
            // Absent in rows of earlier versions.
            losing: z.array(z.string()).default([]),
        })
        .optional(),
    evacuations: z.array(z.object({ vm: z.string(), id: z.string(), byMs: z.number(), ordered: z.boolean() })),
    maintained: z.array(z.object({ wave: z.int(), vms: z.array(z.string()) })),
});

/** What a holder stores in its lease beside its name. */
export type LeaseContent = Omit<LeaseRecord, "holder" | "process" | "epoch">;

/** The content of a lease that nobody has written yet. */
export const emptyLeaseContent: LeaseContent = {
    executors: [],
    pending: [],
    vacated: [],
    demand: undefined,
    evacuations: [],
    maintained: [],
};

/** Key of a lease. */
export const leaseKey = (subject: LeaseSubject): string =>
    subject.kind === "fleet" ? FLEET_KEY : POOL_KEY_PREFIX + subject.pool;

/** Row of a lease; each has a part of its own, since the store does the transactions of a part one after another. */
export const leaseRow = (key: string): RowKey => ({ table: LEASE_TABLE, part: `lease/${key}`, key });

/** Encodes a lease for the store. */
export const encodeLease = (record: LeaseRecord): string => JSON.stringify(record);

/** Decodes a stored lease; undefined if it is not readable. */
export const decodeLease = (text: string): LeaseRecord | undefined =>
    schema.safeParse(parseJson(text)).data as LeaseRecord | undefined;
