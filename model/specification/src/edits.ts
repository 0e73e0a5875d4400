import { applyEdit, type Edit } from "@almondusher/fleet/edit";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { type FleetState, fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, toId } from "@almondusher/fleet/ids";
import { type Pool, poolSchema } from "@almondusher/fleet/pool";
import type { Protocol } from "./protocol.js";

/** Rules of the protocol; without any one of them the explorer must find a broken invariant. */
export const editGuards = [
    "revision-condition",
    "edit-id-condition",
    "read-back",
    "read-back-on-conflict",
    "discard-lower",
] as const;
export type EditGuard = (typeof editGuards)[number];

/** An accepted edit of the one pool row that both operators change: its slots before and after. */
interface AcceptedEdit {
    readonly id: string;
    readonly from: number;
    readonly to: number;
}

interface Operator {
    readonly id: string;
    readonly phase: "reading" | "ready" | "unknown" | "accepted" | "rejected";
    /** Revision on which the write is conditional. */
    readonly base: number;
    /** Slots before and after the edit, fixed when the operator first reads the row; 0 until then. */
    readonly from: number;
    readonly to: number;
}

interface Entry {
    /** Revision of the fleet state in use; -1 until the process has loaded one. */
    readonly revision: number;
    readonly cutFromPlatform: boolean;
    readonly cutFromPeers: boolean;
    /** Revision in a delayed answer to a poll of this entry; -1 if none. */
    readonly delayedAnswer: number;
    /** The entry has replaced its revision by a lower one. */
    readonly hasRegressed: boolean;
}

export interface EditState {
    readonly accepted: readonly AcceptedEdit[];
    readonly operators: readonly Operator[];
    readonly entries: readonly Entry[];
    /** Writes that still take effect after the operator stopped waiting for their answers. */
    readonly delayedWrites: readonly (AcceptedEdit & { readonly base: number })[];
    readonly faults: number;
}

export type EditStep =
    | {
          readonly type: "read" | "write" | "write-answer-lost" | "write-delayed" | "restart-operator";
          readonly id: string;
      }
    | { readonly type: "late-write"; readonly index: number }
    | {
          readonly type:
              | "poll"
              | "poll-delayed"
              | "late-answer"
              | "cut-from-platform"
              | "cut-from-peers"
              | "heal"
              | "replace"
              | "replace-cut"
              | "load";
          readonly entry: number;
      }
    | { readonly type: "exchange" | "load-from-peer"; readonly entry: number; readonly peer: number };

export interface EditOptions {
    readonly disabledGuard?: EditGuard;
    readonly maxFaults: number;
    /** Types of faults to explore. All if absent. */
    readonly faults?: readonly EditStep["type"][];
    /** Number of entries. */
    readonly entries: number;
}

const INITIAL_SLOTS = 8;
const SLOTS_BY_A = 4;
const SLOTS_BY_B = 6;
const POOL = toId<PoolName>("letters");

const faultTypes: readonly EditStep["type"][] = [
    "write-answer-lost",
    "write-delayed",
    "restart-operator",
    "poll-delayed",
    "cut-from-platform",
    "cut-from-peers",
    "replace",
    "replace-cut",
];

const poolOf = (slotsPerVm: number): Pool => poolSchema.parse({ name: POOL, vms: [], minAvailable: 0, slotsPerVm });

const editOf = ({ id, from, to }: AcceptedEdit): Edit => ({
    editId: toId(id),
    author: { kind: "operator", name: id },
    at: "2026-12-04T09:00:00Z",
    reason: "",
    changes: [{ table: "pools", key: POOL, before: poolOf(from), after: poolOf(to) }],
});

const initialFleetState = fleetState(0, { routes: [], pools: [poolOf(INITIAL_SLOTS)], assignments: [] });
const replayCache = new Map<string, FleetState | undefined>();

/** The fleet state after the accepted edits, or undefined if one of them conflicts with the state before it. */
const replayEdits = (accepted: readonly AcceptedEdit[]): FleetState | undefined => {
    const key = JSON.stringify(accepted);
    if (!replayCache.has(key)) {
        replayCache.set(key, applyAll(accepted));
    }
    return replayCache.get(key);
};

const applyAll = (accepted: readonly AcceptedEdit[]): FleetState | undefined => {
    try {
        return accepted.reduce((state, edit) => applyEdit(state, editOf(edit)), initialFleetState);
    } catch (error) {
        if (hasCode(error, "edit-conflict")) {
            return undefined;
        }
        throw error;
    }
};

const currentSlots = (state: EditState): number => replayEdits(state.accepted)?.pools.get(POOL)?.slotsPerVm ?? 0;

const changeOperator = (state: EditState, id: string, change: (operator: Operator) => Operator): EditState => ({
    ...state,
    operators: state.operators.map(operator => (operator.id === id ? change(operator) : operator)),
});

const changeEntry = (state: EditState, index: number, change: (entry: Entry) => Entry): EditState => ({
    ...state,
    entries: state.entries.map((entry, other) => (other === index ? change(entry) : entry)),
});

const isAccepted = (state: EditState, id: string): boolean => state.accepted.some(edit => edit.id === id);

/**
 * Fixes the edit when the operator first reads the row. Operator `a` applies a given edit, as from a file. Operator `b`
 * reverts the edit of `a` if it finds it in the row, and otherwise makes an edit of its own.
 */
const prepareEdit = (operator: Operator, slots: number): Operator => {
    if (operator.from !== 0) {
        return operator;
    }
    return operator.id === "a"
        ? { ...operator, from: INITIAL_SLOTS, to: SLOTS_BY_A }
        : { ...operator, from: slots, to: slots === INITIAL_SLOTS ? SLOTS_BY_B : INITIAL_SLOTS };
};

const read = (state: EditState, id: string, disabledGuard: EditGuard | undefined): EditState =>
    changeOperator(state, id, operator => {
        const prepared = { ...prepareEdit(operator, currentSlots(state)), base: state.accepted.length };
        if (replayEdits([...state.accepted, { id, from: prepared.from, to: prepared.to }]) !== undefined) {
            return { ...prepared, phase: "ready" };
        }
        return disabledGuard !== "read-back-on-conflict" && isAccepted(state, id)
            ? { ...prepared, phase: "accepted" }
            : { ...prepared, phase: "rejected" };
    });

interface Transaction {
    readonly edit: AcceptedEdit;
    readonly base: number;
    readonly disabledGuard: EditGuard | undefined;
}

const applyTransaction = (state: EditState, { edit, base, disabledGuard }: Transaction): EditState => {
    const isCurrent = disabledGuard === "revision-condition" || state.accepted.length === base;
    const isNew = disabledGuard === "edit-id-condition" || !isAccepted(state, edit.id);
    return isCurrent && isNew ? { ...state, accepted: [...state.accepted, edit] } : state;
};

const transactionOf = (operator: Operator, disabledGuard: EditGuard | undefined): Transaction => ({
    edit: { id: operator.id, from: operator.from, to: operator.to },
    base: operator.base,
    disabledGuard,
});

const operatorAfterWrite = (
    before: EditState,
    after: EditState,
    operator: Operator,
    disabledGuard: EditGuard | undefined,
): Operator => {
    if (before !== after) {
        return { ...operator, phase: "accepted" };
    }
    if (disabledGuard === "read-back") {
        return { ...operator, phase: "rejected" };
    }
    return { ...operator, phase: isAccepted(after, operator.id) ? "accepted" : "reading" };
};

const write = (state: EditState, id: string, disabledGuard: EditGuard | undefined): EditState => {
    const operator = state.operators.find(other => other.id === id);
    if (operator === undefined) {
        return state;
    }
    const written = applyTransaction(state, transactionOf(operator, disabledGuard));
    return changeOperator(written, id, other => operatorAfterWrite(state, written, other, disabledGuard));
};

const writeWithLostAnswer = (state: EditState, id: string, disabledGuard: EditGuard | undefined): EditState => {
    const operator = state.operators.find(other => other.id === id);
    const written = operator === undefined ? state : applyTransaction(state, transactionOf(operator, disabledGuard));
    return changeOperator(written, id, other => ({ ...other, phase: "unknown" }));
};

const delayWrite = (state: EditState, id: string): EditState => {
    const writes = state.operators
        .filter(operator => operator.id === id)
        .map(({ from, to, base }) => ({ id, from, to, base }));
    return changeOperator({ ...state, delayedWrites: [...state.delayedWrites, ...writes] }, id, operator => ({
        ...operator,
        phase: "unknown",
    }));
};

const applyDelayedWrite = (state: EditState, index: number, disabledGuard: EditGuard | undefined): EditState => {
    const delayed = state.delayedWrites[index];
    const rest = { ...state, delayedWrites: state.delayedWrites.filter((unused, other) => other !== index) };
    return delayed === undefined
        ? rest
        : applyTransaction(rest, {
              edit: { id: delayed.id, from: delayed.from, to: delayed.to },
              base: delayed.base,
              disabledGuard,
          });
};

const adoptRevision = (entry: Entry, revision: number, disabledGuard: EditGuard | undefined): Entry => {
    if (revision < entry.revision && disabledGuard !== "discard-lower") {
        return entry;
    }
    return { ...entry, revision, hasRegressed: entry.hasRegressed || revision < entry.revision };
};

const newEntry = (cutFromPlatform: boolean): Entry => ({
    revision: -1,
    cutFromPlatform,
    cutFromPeers: false,
    delayedAnswer: -1,
    hasRegressed: false,
});

const peerRevision = (state: EditState, peer: number): number => state.entries[peer]?.revision ?? -1;

const applyStep = (state: EditState, step: EditStep, disabledGuard: EditGuard | undefined): EditState => {
    const head = state.accepted.length;
    switch (step.type) {
        case "read":
            return read(state, step.id, disabledGuard);
        case "write":
            return write(state, step.id, disabledGuard);
        case "write-answer-lost":
            return writeWithLostAnswer(state, step.id, disabledGuard);
        case "write-delayed":
            return delayWrite(state, step.id);
        case "restart-operator":
            return changeOperator(state, step.id, operator => ({ ...operator, phase: "reading" }));
        case "late-write":
            return applyDelayedWrite(state, step.index, disabledGuard);
        case "poll":
        case "load":
            return changeEntry(state, step.entry, entry => adoptRevision(entry, head, disabledGuard));
        case "poll-delayed":
            return changeEntry(state, step.entry, entry => ({ ...entry, delayedAnswer: head }));
        case "late-answer":
            return changeEntry(state, step.entry, entry => ({
                ...adoptRevision(entry, entry.delayedAnswer, disabledGuard),
                delayedAnswer: -1,
            }));
        case "exchange":
            // Models one direction: the entry receives the revision of its peer. The other direction is a separate step.
            return changeEntry(state, step.entry, entry =>
                adoptRevision(entry, peerRevision(state, step.peer), disabledGuard),
            );
        case "load-from-peer":
            return changeEntry(state, step.entry, entry => ({ ...entry, revision: peerRevision(state, step.peer) }));
        case "cut-from-platform":
            return changeEntry(state, step.entry, entry => ({ ...entry, cutFromPlatform: true }));
        case "cut-from-peers":
            return changeEntry(state, step.entry, entry => ({ ...entry, cutFromPeers: true }));
        case "heal":
            return changeEntry(state, step.entry, entry => ({ ...entry, cutFromPlatform: false, cutFromPeers: false }));
        case "replace":
        case "replace-cut":
            return changeEntry(state, step.entry, () => newEntry(step.type === "replace-cut"));
    }
};

const operatorSteps = (operator: Operator): readonly EditStep[] => {
    const { id } = operator;
    switch (operator.phase) {
        case "reading":
            return [{ type: "read", id }];
        case "ready":
        case "unknown":
            return [
                { type: "write", id },
                { type: "write-answer-lost", id },
                { type: "write-delayed", id },
                { type: "restart-operator", id },
            ];
        case "accepted":
        case "rejected":
            return [];
    }
};

const entrySteps = (state: EditState, entry: Entry, index: number): readonly EditStep[] => {
    const isReady = entry.revision >= 0;
    const peers = state.entries.flatMap((peer, other) =>
        other !== index && peer.revision >= 0 && !peer.cutFromPeers && !entry.cutFromPeers ? [other] : [],
    );
    const canHeal = entry.cutFromPlatform && (entry.cutFromPeers || peers.length === 0);
    return [
        ...(isReady && !entry.cutFromPlatform
            ? [{ type: "poll", entry: index } as const, { type: "poll-delayed", entry: index } as const]
            : []),
        ...(isReady && entry.delayedAnswer >= 0 ? [{ type: "late-answer", entry: index } as const] : []),
        ...(isReady
            ? peers.map(peer => ({ type: "exchange", entry: index, peer }) as const)
            : peers
                  .filter(() => entry.cutFromPlatform)
                  .map(peer => ({ type: "load-from-peer", entry: index, peer }) as const)),
        ...(!isReady && !entry.cutFromPlatform ? [{ type: "load", entry: index } as const] : []),
        // An entry that can reach a peer must recover without the platform, so only an entry that can reach neither the
        // platform nor a peer gets its connections back.
        ...(canHeal ? [{ type: "heal", entry: index } as const] : []),
        ...(entry.cutFromPlatform ? [] : [{ type: "cut-from-platform", entry: index } as const]),
        ...(entry.cutFromPeers ? [] : [{ type: "cut-from-peers", entry: index } as const]),
        { type: "replace", entry: index },
        { type: "replace-cut", entry: index },
    ];
};

const isFault = (step: EditStep): boolean => faultTypes.includes(step.type);

const findViolations = (state: EditState): readonly string[] => [
    ...(replayEdits(state.accepted) === undefined
        ? ["an accepted edit does not apply to the state that it changed"]
        : []),
    ...state.accepted
        .filter((edit, index) => state.accepted.findIndex(other => other.id === edit.id) !== index)
        .map(edit => `edit ${edit.id} was applied twice`),
    ...state.operators
        .filter(({ phase, id }) => phase === "accepted" && !isAccepted(state, id))
        .map(({ id }) => `operator ${id} was told of an edit that is not in the history`),
    ...state.operators
        .filter(({ phase, id }) => phase === "rejected" && isAccepted(state, id))
        .map(({ id }) => `operator ${id} was told of a conflict, but the edit is in force`),
    ...state.entries
        .filter(entry => entry.hasRegressed)
        .map((unused, index) => `entry ${index} went back to an older revision`),
];

const keyOf = (state: EditState): string =>
    JSON.stringify({ ...state, entries: state.entries.map(entry => JSON.stringify(entry)).sort() });

/** Models edits: two operators who edit the same row, and entries that receive the revisions. */
export const editProtocol = (options: EditOptions): Protocol<EditState, EditStep> => ({
    name: "edits",
    initial: {
        accepted: [],
        operators: ["a", "b"].map(id => ({ id, phase: "reading", base: 0, from: 0, to: 0 })),
        entries: Array.from({ length: options.entries }, () => ({ ...newEntry(false), revision: 0 })),
        delayedWrites: [],
        faults: 0,
    },
    steps: state =>
        [
            ...state.operators.flatMap(operatorSteps),
            ...state.delayedWrites.map((unused, index) => ({ type: "late-write", index }) as const),
            ...state.entries.flatMap((entry, index) => entrySteps(state, entry, index)),
        ].filter(
            step =>
                !isFault(step) || (state.faults < options.maxFaults && (options.faults?.includes(step.type) ?? true)),
        ),
    apply: (state, step) => {
        const next = applyStep(state, step, options.disabledGuard);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    keyOf,
    violations: findViolations,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.operators.every(({ phase }) => phase === "accepted" || phase === "rejected") &&
        state.entries.every(entry => entry.revision === state.accepted.length),
});
