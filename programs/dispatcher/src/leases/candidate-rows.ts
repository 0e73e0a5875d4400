import { z } from "zod";
import type { VmId } from "@almondusher/fleet/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import type { RowKey } from "@almondusher/platform-adapter/table-store";
import { LEASE_TABLE } from "./lease-rows.js";
import type { VmCapacity } from "../fleet/vm-capacity.js";

/** Partition of the rows of all candidates. */
export const CANDIDATE_PART = "candidates";
const KEY_PREFIX = "vm/";

/** The request of a VM without a lease to take over one that a smaller VM holds. */
export interface HandoverRequest {
    /** Key of the lease. */
    readonly lease: string;
    /** Time of the request on the store's clock, in milliseconds. */
    readonly atMs: number;
}

/** Stored content of a candidate. */
export interface CandidateContent {
    readonly capacity: VmCapacity;
    /** The last request; undefined if there was none since the process was started. */
    readonly request: HandoverRequest | undefined;
}

const schema = z.object({
    capacity: z.object({ processorCores: z.number().positive(), linkMbps: z.number().positive() }),
    request: z.object({ lease: z.string(), atMs: z.number() }).optional(),
});

/**
 * Returns the row of a VM whose process may acquire leases. It is in the table of the leases, so that the change feed
 * that every process reads covers it.
 */
export const candidateRow = (vm: VmId): RowKey => ({
    table: LEASE_TABLE,
    part: CANDIDATE_PART,
    key: KEY_PREFIX + vm,
});

/** Returns the VM that a key in the table of the leases belongs to; undefined for the key of a lease. */
export const candidateVm = (key: string): VmId | undefined =>
    key.startsWith(KEY_PREFIX) ? (key.slice(KEY_PREFIX.length) as VmId) : undefined;

export const encodeCandidate = ({ capacity, request }: CandidateContent): string =>
    JSON.stringify({ capacity, request });

/** Decodes a stored candidate; undefined if it is malformed. */
export const decodeCandidate = (text: string): CandidateContent | undefined => {
    const content = schema.safeParse(parseJson(text)).data;
    return content === undefined ? undefined : { capacity: content.capacity, request: content.request };
};
