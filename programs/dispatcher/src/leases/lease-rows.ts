import { z } from "zod";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId, QueueName } from "@almondusher/jobs/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import type { PoolDemand } from "@almondusher/scheduler/demand";
import type { RowKey } from "@almondusher/platform-adapter/table-store";
import type { NumberRanges } from "@almondusher/fleet/number-ranges";
import type { StorePoint } from "../store/read-all.js";
import {
    storedAllowancesSchema,
    storedPoolUseSchema,
    type StoredAllowances,
    type StoredPoolUse,
} from "./tenant-rows.js";
import { storedStartsSchema, type StoredStart } from "./undelivered-start-rows.js";

/** What the holder of a lease is responsible for: a pool or the fleet. */
export type LeaseSubject = { readonly kind: "pool"; readonly pool: PoolName } | { readonly kind: "fleet" };

/** An executor that may have runs started by the holder of the lease. */
export interface ListedExecutor {
    readonly id: ExecutorId;
    readonly address: string;
    /**
     * The holder has not read the executor, and does nothing there before it has stored a row without this mark: runs of
     * earlier holders may be active for this time after the row was written, in milliseconds. Undefined if the holder may
     * have read it, as in rows written by earlier versions.
     */
    readonly earlierRunsForMs?: number | undefined;
}

/** Number of accepted jobs of a queue that have not started. */
export interface PendingCount {
    readonly queue: QueueName;
    readonly jobs: number;
}

/**
 * Whether the scheduler of a pool keeps up with its work: `starting` until it can start tasks of the jobs that it has taken
 * over, `behind` while tasks wait only because it cannot send orders faster, `current` otherwise.
 */
const schedulerStatuses = ["starting", "behind", "current"] as const;
export type SchedulerStatus = (typeof schedulerStatuses)[number];

/** A request to a pool to evacuate a VM. */
interface Evacuation {
    readonly vm: VmId;
    /** Distinguishes successive evacuations of the same VM. */
    readonly id: string;
    /** Time on the store's clock by which tasks that can continue elsewhere must have left the VM, in milliseconds. */
    readonly byMs: number;
    /** True once an order for the VM is being sent; it may still arrive later. */
    readonly ordered: boolean;
    /**
     * Time on the store's clock from which an order of an earlier holder has no effect any more, in milliseconds; undefined if
     * the holder itself may have sent one, and in rows of earlier versions.
     */
    readonly orderedUntilMs: number | undefined;
}

/** VMs of a maintenance wave whose maintenance order is confirmed. */
export interface WaveMaintenance {
    readonly wave: number;
    readonly vms: readonly VmId[];
}

/** Stored content of a lease. */
export interface LeaseRecord {
    /** Undefined after the holder has released the lease. */
    readonly holder: VmId | undefined;
    readonly process: ProcessId | undefined;
    /** Fencing token; increases whenever the lease is acquired. */
    readonly epoch: number;
    /**
     * Used only in the leases of pools: no holder up to this one has given a higher run number. Undefined in rows written by
     * earlier versions.
     */
    readonly runNumbersUpTo: number | undefined;
    readonly executors: readonly ListedExecutor[];
    readonly pending: readonly PendingCount[];
    /** The stored jobs that `pending` covers; undefined if it covers none, as in rows written by earlier versions. */
    readonly pendingAsOf: StorePoint | undefined;
    /**
     * Time on the store's clock until which runs of earlier holders may be active on executors whose runs the holder has
     * not read, in milliseconds; undefined if it has read those of all executors.
     */
    readonly inheritedRunsUntilMs: number | undefined;
    /** Used only in the leases of pools; undefined in rows written by earlier versions. */
    readonly schedulerStatus: SchedulerStatus | undefined;
    /** Starts without a response that may still be carried out, of the holder and of earlier ones. */
    readonly undeliveredStarts: readonly StoredStart[];
    /** IDs of the evacuations whose VM has no runs and gets no new ones. */
    readonly vacated: readonly string[];
    /** Demand of the pool for VMs; undefined until its scheduler has estimated it. */
    readonly demand: PoolDemand | undefined;
    /** What the pool's scheduler has learned of run times, see `run-time-state`; undefined in rows of earlier versions. */
    readonly runTimes?: string | undefined;
    /** Used only in the lease of the fleet manager. */
    readonly evacuations: readonly Evacuation[];
    /** Used only in the lease of the fleet manager. */
    readonly maintained: readonly WaveMaintenance[];
    /**
     * Numbers of the waves whose completion is stored for the operator, so that they are over whatever `maintained` contains.
     * Used only in the lease of the fleet manager; empty in rows written by earlier versions.
     */
    readonly completedWaves: NumberRanges;
    /**
     * What the tenants with caps hold and want. Used only in the leases of pools; undefined without tenants, and in rows
     * written by earlier versions.
     */
    readonly tenantUse: StoredPoolUse | undefined;
    /** The division of the caps. Used only in the lease of the fleet manager; undefined as above. */
    readonly allowances: StoredAllowances | undefined;
}

export const LEASE_TABLE = "leases";
const FLEET_KEY = "fleet";
const POOL_KEY_PREFIX = "pool/";

const schema = z.object({
    holder: z.string().optional(),
    process: z.string().optional(),
    epoch: z.int(),
    runNumbersUpTo: z.int().optional(),
    executors: z.array(
        z.object({
            id: z.string(),
            address: z.string(),
            earlierRunsForMs: z.number().min(0).optional().catch(undefined),
        }),
    ),
    pending: z.array(z.object({ queue: z.string(), jobs: z.int() })),
    pendingAsOf: z.object({ version: z.number(), atMs: z.number() }).optional(),
    inheritedRunsUntilMs: z.number().optional(),
    schedulerStatus: z.enum(schedulerStatuses).optional().catch(undefined),
    undeliveredStarts: storedStartsSchema,
    vacated: z.array(z.string()),
    demand: z
        .object({
            neededVms: z.int(),
            wantedVms: z.int(),
            removable: z.array(z.string()),
            // Absent in rows written by earlier versions.
            losing: z.array(z.string()).default([]),
        })
        .optional(),
    runTimes: z.string().optional().catch(undefined),
    evacuations: z.array(
        z.object({
            vm: z.string(),
            id: z.string(),
            byMs: z.number(),
            ordered: z.boolean(),
            orderedUntilMs: z.number().optional().catch(undefined),
        }),
    ),
    maintained: z.array(z.object({ wave: z.int(), vms: z.array(z.string()) })),
    completedWaves: z.array(z.tuple([z.int(), z.int()])).catch([]),
    tenantUse: storedPoolUseSchema,
    allowances: storedAllowancesSchema,
});

/** Content that a holder stores in its lease, without the fields that identify the holder and its run numbers. */
export type LeaseContent = Omit<LeaseRecord, "holder" | "process" | "epoch" | "runNumbersUpTo">;

/** Content of a lease that was never held. */
export const emptyLeaseContent: LeaseContent = {
    executors: [],
    pending: [],
    pendingAsOf: undefined,
    inheritedRunsUntilMs: undefined,
    schedulerStatus: undefined,
    undeliveredStarts: [],
    vacated: [],
    demand: undefined,
    evacuations: [],
    maintained: [],
    completedWaves: [],
    tenantUse: undefined,
    allowances: undefined,
};

/** Returns the row key of a lease. */
export const leaseKey = (subject: LeaseSubject): string =>
    subject.kind === "fleet" ? FLEET_KEY : POOL_KEY_PREFIX + subject.pool;

/**
 * Returns the table, partition and key of a lease row. Each lease has its own partition, because the store executes the
 * transactions of a partition sequentially.
 */
export const leaseRow = (key: string): RowKey => ({ table: LEASE_TABLE, part: `lease/${key}`, key });

/** Returns the reservation of run numbers to store in a lease; the lease of the fleet has none. */
export const storedReservation = ({ kind }: LeaseSubject, reservedUpTo: number): number | undefined =>
    kind === "pool" ? reservedUpTo : undefined;

export const encodeLease = (record: LeaseRecord): string => JSON.stringify(record);

/** Decodes a stored lease; undefined if it is malformed. */
export const decodeLease = (text: string): LeaseRecord | undefined =>
    schema.safeParse(parseJson(text)).data as LeaseRecord | undefined;
