import { z } from "zod";
import type { VmId } from "@almondusher/fleet/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import type { RowKey } from "@almondusher/platform-adapter/table-store";
import { LEASE_TABLE } from "./lease-rows.js";
import type { VmCapacity } from "./vm-capacity.js";

/** Partition of the rows of all candidates. */
export const CANDIDATE_PART = "candidates";
const KEY_PREFIX = "vm/";

const schema = z.object({ processorCores: z.number().positive(), linkMbps: z.number().positive() });

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

export const encodeCandidate = ({ processorCores, linkMbps }: VmCapacity): string =>
    JSON.stringify({ processorCores, linkMbps });

/** Decodes the stored capacity of a candidate; undefined if it is malformed. */
export const decodeCandidate = (text: string): VmCapacity | undefined => schema.safeParse(parseJson(text)).data;
