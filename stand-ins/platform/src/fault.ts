import { z } from "zod";

const positionsSchema = z.array(z.int().min(0));

/** Which writes a fault hits, counted from 0 for the first write after the fault was set. */
const selectionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("none") }),
    z.strictObject({ kind: z.literal("positions"), positions: positionsSchema }),
    z.strictObject({ kind: z.literal("next"), count: z.int().min(0) }),
    /** With n = 4 the writes 3, 7, 11 and so on: a share of one quarter. */
    z.strictObject({ kind: z.literal("every"), nth: z.int().min(1) }),
]);

/** Schema of the faults of one service; a key left out means no such fault. */
export const faultSchema = z.strictObject({
    /** `refuse` closes the listener and every connection, `hang` accepts requests and answers none. */
    down: z.enum(["no", "refuse", "hang"]).default("no"),
    /** Delay before a request takes effect; it takes effect even if its sender has given up. */
    delayMs: z.int().min(0).default(0),
    /** Delays only writes, so that a late write can be told from a slow service. */
    delayWritesMs: z.int().min(0).default(0),
    /** Writes that take effect while their answers are lost. */
    loseAnswers: selectionSchema.default({ kind: "none" }),
    /** Writes that are lost before they take effect. */
    loseRequests: selectionSchema.default({ kind: "none" }),
    /** Writes that are refused because the service is busy. */
    refuseBusy: selectionSchema.default({ kind: "none" }),
    /** Connections that are open when the fault is set become unresponsive; new ones work. */
    freezeConnections: z.boolean().default(false),
    /** Keys that one BatchGetItem answers at most; the others come back as unprocessed. */
    batchKeys: z.int().min(1).optional(),
});

/** The faults of one service. */
export type Fault = z.output<typeof faultSchema>;
/** Which writes a fault hits. */
type Selection = z.output<typeof selectionSchema>;

/** A service without faults. */
export const noFault: Fault = faultSchema.parse({});

/** True if the fault hits the write at the given position. */
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
