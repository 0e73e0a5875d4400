import { z } from "zod";

const positionsSchema = z.array(z.int().min(0));

/** Selects the writes that a fault affects. Positions count from 0 for the first write after the fault was set. */
const selectionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("none") }),
    z.strictObject({ kind: z.literal("positions"), positions: positionsSchema }),
    z.strictObject({ kind: z.literal("next"), count: z.int().min(0) }),
    /** Every nth write: with `nth: 4` those at positions 3, 7, 11 and so on. */
    z.strictObject({ kind: z.literal("every"), nth: z.int().min(1) }),
]);

/** Schema of the faults of one service. Absent keys mean no such fault. */
export const faultSchema = z.strictObject({
    /** `refuse` closes the listener and all connections. `hang` accepts requests but answers none. */
    down: z.enum(["no", "refuse", "hang"]).default("no"),
    /** Delay before a request takes effect. It takes effect even if the client has closed the connection. */
    delayMs: z.int().min(0).default(0),
    /** Additional delay of writes, to simulate late writes without slowing down reads. */
    delayWritesMs: z.int().min(0).default(0),
    /** Writes that take effect but whose connection is closed instead of an answer. */
    loseAnswers: selectionSchema.default({ kind: "none" }),
    /** Writes whose connection is closed before they take effect. */
    loseRequests: selectionSchema.default({ kind: "none" }),
    /** Writes that are rejected with the busy answer of the service. */
    refuseBusy: selectionSchema.default({ kind: "none" }),
    /** Stops answering on the connections that are open when the fault is set. New connections work. */
    freezeConnections: z.boolean().default(false),
    /** Maximum number of keys read per table by one BatchGetItem. The rest are returned as unprocessed. */
    batchKeys: z.int().min(1).optional(),
});

export type Fault = z.output<typeof faultSchema>;
type Selection = z.output<typeof selectionSchema>;

export const noFault: Fault = faultSchema.parse({});

/** True if the selection contains the write at the given position. */
export const isSelected = (selection: Selection, position: number): boolean => {
    switch (selection.kind) {
        case "none":
            return false;
        case "positions":
            return selection.positions.includes(position);
        case "next":
            return position < selection.count;
        case "every":
            return position % selection.nth === selection.nth - 1;
    }
};
