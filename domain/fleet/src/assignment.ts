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
        /** Revision that started the drain; confirmations must know at least this one. */
        sinceRevision: z.int().min(1),
    }),
    z.strictObject({
        kind: z.literal("maintenance"),
        /** Boot of the VM before the reboot; the VM is back once the platform lists another one. */
        bootId: z.string(),
    }),
]);

/** Schema of a row of the assignments table. */
export const assignmentSchema = z.strictObject({
    vm: nameSchema<VmId>(),
    pool: nameSchema<PoolName>(),
    phase: phaseSchema,
    /** Pool that the VM is lent to, or on its way to; absent for a VM that belongs where the pools table names it. */
    loanedTo: nameSchema<PoolName>().optional(),
    /** Time of the last maintenance in milliseconds since 1970; a new VM has one that spreads the first waves. */
    maintainedAtMs: z.int().optional(),
});

/** What a drain is for. */
export type DrainPurpose = z.infer<typeof purposeSchema>;
/** Where a VM is in its life within a pool. */
export type AssignmentPhase = z.infer<typeof phaseSchema>;
/** A row of the assignments table: the one pool that a VM is in, and its phase. */
export type Assignment = z.infer<typeof assignmentSchema>;
