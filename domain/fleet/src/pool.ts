import { z } from "zod";
import type { PoolName, TeamName, VmId } from "./ids.js";
import { nameSchema } from "./name-schema.js";

const MAX_SLOTS = 1024;
const MAX_CONNECTIONS = 4096;
const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const MAX_PROGRESS_INTERVAL_MS = 60 * 60 * 1000;
const SHARE_TOLERANCE = 1e-9;

const shareSchema = z.number().min(0).max(1);

const sharesSchema = z
    .strictObject({ urgent: shareSchema, normal: shareSchema, deferrable: shareSchema })
    .refine(shares => shares.urgent + shares.normal + shares.deferrable <= 1 + SHARE_TOLERANCE, {
        message: "must add up to at most 1",
    });

/** Schema of a row of the pools table. */
export const poolSchema = z.strictObject({
    name: nameSchema<PoolName>(),
    vms: z.array(nameSchema<VmId>()),
    /** Requests that each VM runs concurrently. */
    slotsPerVm: z.int().min(1).max(MAX_SLOTS).default(DEFAULT_SLOTS),
    /** Maximum number of connections of all entries together to each VM. */
    connectionsPerVm: z.int().min(1).max(MAX_CONNECTIONS).default(DEFAULT_CONNECTIONS),
    /** Availability budget: VMs that must be serving at any time. */
    minAvailable: z.int().min(0),
    /** True for a spare pool, which lends its VMs to other pools. */
    spare: z.boolean().default(false),
    /** Maximum number of VMs that this pool may borrow from spare pools. */
    maxBorrowed: z.int().min(0).default(0),
    /** Guaranteed minimum share of the slots for each class of urgency. */
    shares: sharesSchema.default({ urgent: 0.5, normal: 0.3, deferrable: 0.2 }),
    /** Maximum number of slots in use by each team; teams that are not listed have no limit. */
    quotas: z.array(z.strictObject({ team: nameSchema<TeamName>(), slots: z.int().min(0).max(MAX_SLOTS) })).default([]),
    /** Interval at which endpoints send 102 (Processing) responses while a request runs; absent if they send none. */
    progressIntervalMs: z.int().min(100).max(MAX_PROGRESS_INTERVAL_MS).optional(),
    /**
     * `required` if every response of the endpoints echoes the almondusher-request-id header; a response without it is
     * not forwarded.
     */
    requestIdEcho: z.enum(["optional", "required"]).default("optional"),
});

/** A row of the pools table: which VMs serve, and within which limits. */
export type Pool = z.infer<typeof poolSchema>;
