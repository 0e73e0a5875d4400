import { z } from "zod";
import type { PoolName, VmId } from "./ids.js";
import { nameSchema } from "./name-schema.js";

const purposeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("move"), pool: nameSchema<PoolName>() }),
    z.strictObject({ kind: z.literal("maintenance") }),
    z.strictObject({ kind: z.literal("removal") }),
]);

const phaseSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("serving") }),
    z.strictObject({
        kind: z.literal("draining"),
        purpose: purposeSchema,
        /** Revision that started the drain; entries must have applied it before they confirm the drain. */
        sinceRevision: z.int().min(1),
    }),
    z.strictObject({
        kind: z.literal("maintenance"),
        /** Boot id of the VM before the reboot; the reboot has completed once the platform lists another one. */
        bootId: z.string(),
    }),
]);

/** Schema of a row of the assignments table. */
export const assignmentSchema = z.strictObject({
    vm: nameSchema<VmId>(),
    pool: nameSchema<PoolName>(),
    phase: phaseSchema,
    /** Pool that the VM is lent to or being moved to; absent for a VM that belongs to its pool in the pools table. */
    loanedTo: nameSchema<PoolName>().optional(),
    /**
     * Unix time of the last maintenance in milliseconds; a new VM gets an artificial one, so that not all new VMs are
     * due for maintenance at the same time.
     */
    maintainedAtMs: z.int().optional(),
});

/** Reason for a drain. */
export type DrainPurpose = z.infer<typeof purposeSchema>;
/** Phase of a VM in its pool. */
export type AssignmentPhase = z.infer<typeof phaseSchema>;
/** A row of the assignments table: the pool of a VM and its phase there. */
export type Assignment = z.infer<typeof assignmentSchema>;
