import { applyEdit, type Edit } from "@almondusher/fleet/edit";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { type FleetState, fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, toId } from "@almondusher/fleet/ids";
import { type Pool, poolSchema } from "@almondusher/fleet/pool";
import type { Protocol } from "./protocol.js";

/** Rules whose removal must break an invariant. */
export const editGuards = [
    "revision-condition",
    "edit-id-condition",
    "read-back",
    "read-back-on-conflict",
    "discard-lower",
] as const;
export type EditGuard = (typeof editGuards)[number];

/** An accepted change of the one row that both operators edit: its slots before and after. */
interface Accepted {
    readonly id: string;
    readonly from: number;
    readonly to: number;
}

interface Operator {
    readonly id: string;
    readonly phase: "reading" | "ready" | "unknown" | "accepted" | "rejected";
    /** Revision that the write names. */
    readonly base: number;
    /** The edit, fixed when the operator first reads. */
    readonly from: number;
    readonly to: number;
}

interface Entry {
    /** Revision in force; -1 before the process has a state. */
    readonly revision: number;
    readonly cutFromPlatform: boolean;
    readonly cutFromPeers: boolean;
    /** Answer still under way to this entry; -1 if none. */
    readonly late: number;
    readonly wentBack: boolean;
}

export interface EditState {
    readonly accepted: readonly Accepted[];
    readonly operators: readonly Operator[];
    readonly entries: readonly Entry[];
    /** Writes that arrive later, after their author stopped waiting. */
    readonly lateWrites: readonly (Accepted & { readonly base: number })[];
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
    readonly without?: EditGuard;
    readonly maxFaults: number;
    /** Faults that may happen; all if absent. */
    readonly faults?: readonly EditStep["type"][];
    /** Entries in the model. */
    readonly entries: number;
}

const FIRST_SLOTS = 8;
const SLOTS_OF_A = 4;
const SLOTS_OF_B = 6;
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

const editOf = ({ id, from, to }: Accepted): Edit => ({
    editId: toId(id),
    author: { kind: "operator", name: id },
    at: "2026-12-04T09:00:00Z",
    reason: "",
    changes: [{ table: "pools", key: POOL, before: poolOf(from), after: poolOf(to) }],
});

const firstState = fleetState(0, { routes: [], pools: [poolOf(FIRST_SLOTS)], assignments: [] });
const replays = new Map<string, FleetState | undefined>();

/** The fleet state after the accepted edits; undefined if one of them does not apply to what was there. */
const replay = (accepted: readonly Accepted[]): FleetState | undefined => {
    const key = JSON.stringify(accepted);
    if (!replays.has(key)) {
        replays.set(key, applyAll(accepted));
    }
    return replays.get(key);
};

const applyAll = (accepted: readonly Accepted[]): FleetState | undefined => {
    try {
        return accepted.reduce((state, edit) => applyEdit(state, editOf(edit)), firstState);
    } catch (error) {
        if (hasCode(error, "edit-conflict")) {
            return undefined;
        }
        throw error;
    }
};

const slotsAt = (state: EditState): number => replay(state.accepted)?.pools.get(POOL)?.slotsPerVm ?? 0;

const changeOperator = (state: EditState, id: string, change: (operator: Operator) => Operator): EditState => ({
    ...state,
    operators: state.operators.map(operator => (operator.id === id ? change(operator) : operator)),
});

const changeEntry = (state: EditState, index: number, change: (entry: Entry) => Entry): EditState => ({
    ...state,
    entries: state.entries.map((entry, other) => (other === index ? change(entry) : entry)),
});

const isAccepted = (state: EditState, id: string): boolean => state.accepted.some(edit => edit.id === id);

/** Operator a has prepared its change from a file; operator b decides on what it reads, and reverts the change of a. */
const prepare = (operator: Operator, slots: number): Operator => {
    if (operator.from !== 0) {
        return operator;
    }
    return operator.id === "a"
        ? { ...operator, from: FIRST_SLOTS, to: SLOTS_OF_A }
        : { ...operator, from: slots, to: slots === FIRST_SLOTS ? SLOTS_OF_B : FIRST_SLOTS };
};

const read = (state: EditState, id: string, without: EditGuard | undefined): EditState =>
    changeOperator(state, id, operator => {
        const prepared = { ...prepare(operator, slotsAt(state)), base: state.accepted.length };
        if (replay([...state.accepted, { id, from: prepared.from, to: prepared.to }]) !== undefined) {
            return { ...prepared, phase: "ready" };
        }
        return without !== "read-back-on-conflict" && isAccepted(state, id)
            ? { ...prepared, phase: "accepted" }
            : { ...prepared, phase: "rejected" };
    });

interface Transaction {
    readonly edit: Accepted;
    readonly base: number;
    readonly without: EditGuard | undefined;
}

const transact = (state: EditState, { edit, base, without }: Transaction): EditState => {
    const isCurrent = without === "revision-condition" || state.accepted.length === base;
    const isNew = without === "edit-id-condition" || !isAccepted(state, edit.id);
    return isCurrent && isNew ? { ...state, accepted: [...state.accepted, edit] } : state;
};

const transactionOf = (operator: Operator, without: EditGuard | undefined): Transaction => ({
    edit: { id: operator.id, from: operator.from, to: operator.to },
    base: operator.base,
    without,
});

const outcome = (before: EditState, after: EditState, operator: Operator, without: EditGuard | undefined): Operator => {
    if (before !== after) {
        return { ...operator, phase: "accepted" };
    }
    if (without === "read-back") {
        return { ...operator, phase: "rejected" };
    }
    return { ...operator, phase: isAccepted(after, operator.id) ? "accepted" : "reading" };
};

const write = (state: EditState, id: string, without: EditGuard | undefined): EditState => {
    const operator = state.operators.find(other => other.id === id);
    if (operator === undefined) {
        return state;
    }
    const written = transact(state, transactionOf(operator, without));
    return changeOperator(written, id, other => outcome(state, written, other, without));
};

const writeUnanswered = (state: EditState, id: string, without: EditGuard | undefined): EditState => {
    const operator = state.operators.find(other => other.id === id);
    const written = operator === undefined ? state : transact(state, transactionOf(operator, without));
    return changeOperator(written, id, other => ({ ...other, phase: "unknown" }));
};

const delayWrite = (state: EditState, id: string): EditState => {
    const writes = state.operators
        .filter(operator => operator.id === id)
        .map(({ from, to, base }) => ({ id, from, to, base }));
    return changeOperator({ ...state, lateWrites: [...state.lateWrites, ...writes] }, id, operator => ({
        ...operator,
        phase: "unknown",
    }));
};

const arriveLate = (state: EditState, index: number, without: EditGuard | undefined): EditState => {
    const late = state.lateWrites[index];
    const rest = { ...state, lateWrites: state.lateWrites.filter((unused, other) => other !== index) };
    return late === undefined
        ? rest
        : transact(rest, { edit: { id: late.id, from: late.from, to: late.to }, base: late.base, without });
};

const adopt = (entry: Entry, revision: number, without: EditGuard | undefined): Entry => {
    if (revision < entry.revision && without !== "discard-lower") {
        return entry;
    }
    return { ...entry, revision, wentBack: entry.wentBack || revision < entry.revision };
};

const newEntry = (cut: boolean): Entry => ({
    revision: -1,
    cutFromPlatform: cut,
    cutFromPeers: false,
    late: -1,
    wentBack: false,
});

const peerRevision = (state: EditState, peer: number): number => state.entries[peer]?.revision ?? -1;

const applyStep = (state: EditState, step: EditStep, without: EditGuard | undefined): EditState => {
    const head = state.accepted.length;
    switch (step.type) {
        case "read":
            return read(state, step.id, without);
        case "write":
            return write(state, step.id, without);
        case "write-answer-lost":
            return writeUnanswered(state, step.id, without);
        case "write-delayed":
            return delayWrite(state, step.id);
        case "restart-operator":
            return changeOperator(state, step.id, operator => ({ ...operator, phase: "reading" }));
        case "late-write":
            return arriveLate(state, step.index, without);
        case "poll":
        case "load":
            return changeEntry(state, step.entry, entry => adopt(entry, head, without));
        case "poll-delayed":
            return changeEntry(state, step.entry, entry => ({ ...entry, late: head }));
        case "late-answer":
            return changeEntry(state, step.entry, entry => ({ ...adopt(entry, entry.late, without), late: -1 }));
        case "exchange":
            // Both directions are steps of their own; an entry offers what it has and the other decides.
            return changeEntry(state, step.entry, entry => adopt(entry, peerRevision(state, step.peer), without));
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
        ...(isReady && entry.late >= 0 ? [{ type: "late-answer", entry: index } as const] : []),
        ...(isReady
            ? peers.map(peer => ({ type: "exchange", entry: index, peer }) as const)
            : peers
                  .filter(() => entry.cutFromPlatform)
                  .map(peer => ({ type: "load-from-peer", entry: index, peer }) as const)),
        ...(!isReady && !entry.cutFromPlatform ? [{ type: "load", entry: index } as const] : []),
        // An entry that still reaches a peer must do without the platform, so only full isolation has to end.
        ...(canHeal ? [{ type: "heal", entry: index } as const] : []),
        ...(entry.cutFromPlatform ? [] : [{ type: "cut-from-platform", entry: index } as const]),
        ...(entry.cutFromPeers ? [] : [{ type: "cut-from-peers", entry: index } as const]),
        { type: "replace", entry: index },
        { type: "replace-cut", entry: index },
    ];
};

const isFault = (step: EditStep): boolean => faultTypes.includes(step.type);

const findViolations = (state: EditState): readonly string[] => [
    ...(replay(state.accepted) === undefined ? ["an accepted edit does not apply to the state that it changed"] : []),
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
        .filter(entry => entry.wentBack)
        .map((unused, index) => `entry ${index} went back to an older revision`),
];

const keyOf = (state: EditState): string =>
    JSON.stringify({ ...state, entries: state.entries.map(entry => JSON.stringify(entry)).sort() });

/** The protocol of edits: two operators who edit the same row, entries that learn the revisions. */
export const editProtocol = (options: EditOptions): Protocol<EditState, EditStep> => ({
    name: "edits",
    initial: {
        accepted: [],
        operators: ["a", "b"].map(id => ({ id, phase: "reading", base: 0, from: 0, to: 0 })),
        entries: Array.from({ length: options.entries }, () => ({ ...newEntry(false), revision: 0 })),
        lateWrites: [],
        faults: 0,
    },
    steps: state =>
        [
            ...state.operators.flatMap(operatorSteps),
            ...state.lateWrites.map((unused, index) => ({ type: "late-write", index }) as const),
            ...state.entries.flatMap((entry, index) => entrySteps(state, entry, index)),
        ].filter(
            step =>
                !isFault(step) || (state.faults < options.maxFaults && (options.faults?.includes(step.type) ?? true)),
        ),
    apply: (state, step) => {
        const next = applyStep(state, step, options.without);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    keyOf,
    violations: findViolations,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.operators.every(({ phase }) => phase === "accepted" || phase === "rejected") &&
        state.entries.every(entry => entry.revision === state.accepted.length),
});
