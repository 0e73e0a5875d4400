import { moveKey } from "./move-key.js";
import { consider } from "./move-manager.js";
import {
    type Entry,
    headOf,
    headRow,
    initialMoveState,
    isReady,
    type MoveGuard,
    type MoveOptions,
    type MoveState,
    type MoveStep,
    newEntry,
    NEWCOMER_VM,
    type Row,
    runOf,
    vmOfId,
} from "./move-state.js";
import type { Protocol } from "./protocol.js";

const MAX_RUNS = 2;
const faultTypes: readonly MoveStep["type"][] = ["new-manager", "kill", "restart", "restart-cut", "boot", "boot-cut"];

const changeEntry = (state: MoveState, id: string, change: (entry: Entry) => Entry): MoveState => ({
    ...state,
    entries: state.entries.map(entry => (entry.id === id ? change(entry) : entry)),
});

const addEntry = (state: MoveState, entry: Entry): MoveState => ({
    ...state,
    entries: [...state.entries, entry].sort((left, right) => (left.id < right.id ? -1 : 1)),
});

const removeEntry = (state: MoveState, id: string): MoveState => ({
    ...state,
    entries: state.entries.filter(entry => entry.id !== id),
});

const register = (state: MoveState, id: string): MoveState => ({
    ...changeEntry(state, id, entry => ({
        ...entry,
        registered: true,
        listAtRegistration: state.listHistory.length,
    })),
    registrations: [...state.registrations.filter(other => vmOfId(other) !== vmOfId(id)), id].sort(),
});

const recordAnswer = (state: MoveState, id: string): MoveState => {
    const entry = state.entries.find(other => other.id === id);
    if (entry === undefined) {
        return state;
    }
    const answer = { id, passedTo: entry.passedTo, gone: entry.gone, again: state.confirmed.length > 0 };
    const others = state.answers.filter(other => other.id !== id);
    return { ...state, answers: [...others, answer].sort((left, right) => (left.id < right.id ? -1 : 1)) };
};

const restart = (state: MoveState, id: string, cut: boolean): MoveState =>
    addEntry(removeEntry(state, id), newEntry(`${vmOfId(id)}/${runOf(id) + 1}`, cut));

const killEntry = (state: MoveState, id: string): MoveState => {
    const rest = removeEntry(state, id);
    const vm = vmOfId(id);
    return {
        ...rest,
        entries: rest.entries.map(entry => (isReady(entry) ? { ...entry, gone: [...entry.gone, vm] } : entry)),
        listHistory: [...state.listHistory, `-${vm}`],
    };
};

const bootNewcomer = (state: MoveState, cut: boolean): MoveState => ({
    ...addEntry(state, newEntry(`${NEWCOMER_VM}/1`, cut)),
    listHistory: [...state.listHistory, `+${NEWCOMER_VM}`],
});

const addRow = (state: MoveState, row: Row): MoveState => ({
    ...state,
    rows: [...state.rows, row],
    answers: [],
    confirmed: [],
});

const revisionOf = (state: MoveState, id: string): number =>
    state.entries.find(entry => entry.id === id)?.revision ?? -1;

const commit = (state: MoveState, without: MoveGuard | undefined): MoveState => {
    const accepted = state.decidedOn === headOf(state) || without === "compare-and-set";
    const decided = { ...state, decidedOn: -1 };
    return accepted ? addRow(decided, "new-pool") : decided;
};

const applyStep = (state: MoveState, step: MoveStep, without: MoveGuard | undefined): MoveState => {
    switch (step.type) {
        case "start-drain":
            return addRow(state, "draining");
        case "cancel-drain":
            return addRow(state, "old-pool");
        case "read-list":
            return { ...state, listRead: state.listRead + 1 };
        case "consider":
            return consider(state, without);
        case "commit":
            return commit(state, without);
        case "new-manager":
            // The next manager may read an older list, and knows nothing that was not read from it.
            return { ...state, answers: [], confirmed: [], listRead: 2, listStart: 2 };
        case "poll":
        case "load":
            return changeEntry(state, step.id, entry => ({ ...entry, revision: headOf(state) }));
        case "route":
            return changeEntry(state, step.id, entry => ({ ...entry, work: "routed" }));
        case "send":
            return changeEntry(state, step.id, entry => ({ ...entry, work: "sent" }));
        case "finish":
            return changeEntry(state, step.id, entry => ({ ...entry, work: "none" }));
        case "answer":
            return recordAnswer(state, step.id);
        case "register":
            return register(state, step.id);
        case "heal":
            return changeEntry(state, step.id, entry => ({ ...entry, cut: false }));
        case "kill":
            return killEntry(state, step.id);
        case "restart":
        case "restart-cut":
            return restart(state, step.id, step.type === "restart-cut");
        case "boot":
        case "boot-cut":
            return bootNewcomer(state, step.type === "boot-cut");
        case "exchange":
            return changeEntry(state, step.id, entry => ({
                ...entry,
                revision: Math.max(entry.revision, revisionOf(state, step.peer)),
            }));
        case "load-from-peer":
            return changeEntry(
                changeEntry(state, step.id, entry => ({ ...entry, revision: revisionOf(state, step.peer) })),
                step.peer,
                peer => ({ ...peer, passedTo: [...new Set([...peer.passedTo, step.id])].sort() }),
            );
    }
};

const entrySteps = (state: MoveState, entry: Entry, without: MoveGuard | undefined): readonly MoveStep[] => {
    const { id } = entry;
    const head = headOf(state);
    const draining = headRow(state) === "draining";
    const peers = state.entries.filter(peer => peer.id !== id && isReady(peer));
    const idle = entry.work === "none" || (without === "in-flight-from-check" && entry.work === "routed");
    const knows = entry.revision >= head || (without === "confirmed-revision" && isReady(entry));
    const given = state.answers.find(answer => answer.id === id);
    const useful = given === undefined || (state.confirmed.length > 0 && !given.again);
    const mayLoad = entry.registered || without === "register-before-load";
    return [
        ...(isReady(entry) && !entry.cut && entry.revision < head ? [{ type: "poll", id } as const] : []),
        ...(isReady(entry) &&
        state.rows[entry.revision] === "old-pool" &&
        state.entries.every(({ work }) => work === "none")
            ? [{ type: "route", id } as const]
            : []),
        ...(entry.work === "routed" && without === "in-flight-from-check" ? [{ type: "send", id } as const] : []),
        ...(entry.work !== "none" ? [{ type: "finish", id } as const] : []),
        ...(draining && idle && knows && useful ? [{ type: "answer", id } as const] : []),
        ...(!entry.cut && !entry.registered ? [{ type: "register", id } as const] : []),
        ...(!entry.cut && !isReady(entry) && mayLoad ? [{ type: "load", id } as const] : []),
        ...(entry.cut ? [{ type: "heal", id } as const] : []),
        ...peers
            .filter(peer => entry.cut && isReady(entry) && peer.revision > entry.revision)
            .map(peer => ({ type: "exchange", id, peer: peer.id }) as const),
        ...(entry.cut && !isReady(entry)
            ? peers.map(peer => ({ type: "load-from-peer", id, peer: peer.id }) as const)
            : []),
    ];
};

const managerSteps = (state: MoveState, options: MoveOptions): readonly MoveStep[] => {
    const row = headRow(state);
    const cancels = state.rows.slice(1).filter(other => other === "old-pool").length;
    const changes = row === "draining" && consider(state, options.without) !== state;
    return [
        ...(row === "old-pool" ? [{ type: "start-drain" } as const] : []),
        ...(row === "draining" && cancels < (options.maxCancels ?? 0) ? [{ type: "cancel-drain" } as const] : []),
        ...(state.listRead < state.listHistory.length ? [{ type: "read-list" } as const] : []),
        ...(changes ? [{ type: "consider" } as const] : []),
        ...(state.decidedOn >= 0 ? [{ type: "commit" } as const] : []),
    ];
};

const faultSteps = (state: MoveState, options: MoveOptions): readonly MoveStep[] =>
    allFaultSteps(state, options).filter(step => options.faults?.includes(step.type) ?? true);

const allFaultSteps = (state: MoveState, options: MoveOptions): readonly MoveStep[] =>
    state.faults >= options.maxFaults || headRow(state) === "new-pool"
        ? []
        : [
              { type: "new-manager" },
              ...(state.listHistory.includes(`+${NEWCOMER_VM}`)
                  ? []
                  : [{ type: "boot" } as const, { type: "boot-cut" } as const]),
              ...state.entries.flatMap(({ id }): readonly MoveStep[] => [
                  { type: "kill", id },
                  ...(runOf(id) < MAX_RUNS
                      ? [{ type: "restart", id } as const, { type: "restart-cut", id } as const]
                      : []),
              ]),
          ];

/** Entries that may still send to the VM in its old pool although others may already use it in the new one. */
const findViolations = (state: MoveState): readonly string[] =>
    headRow(state) !== "new-pool"
        ? []
        : state.entries
              .filter(entry => entry.work !== "none" || state.rows[entry.revision] === "old-pool")
              .map(entry => `${entry.id} may send to the VM in its old pool after the move`);

const isFault = (step: MoveStep): boolean => faultTypes.includes(step.type);

/** The protocol of a move: one endpoint VM, two entries and a newcomer, a manager that may be replaced. */
export const moveProtocol = (options: MoveOptions): Protocol<MoveState, MoveStep> => ({
    name: "moves",
    initial: initialMoveState,
    steps: state => [
        ...managerSteps(state, options),
        ...state.entries.flatMap(entry => entrySteps(state, entry, options.without)),
        ...faultSteps(state, options),
    ],
    apply: (state, step) => {
        const next = applyStep(state, step, options.without);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    keyOf: moveKey,
    violations: findViolations,
    isProgress: step => !isFault(step),
    // Without any entry nobody can confirm, and nobody waits for the VM.
    isSettled: state => headRow(state) === "new-pool" || state.entries.length === 0,
});
