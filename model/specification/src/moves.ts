import { moveKey } from "./move-key.js";
import { evaluateDrain } from "./move-manager.js";
import {
    type Entry,
    headRevision,
    headRow,
    initialMoveState,
    isReady,
    type MoveGuard,
    type MoveOptions,
    type MoveState,
    type MoveStep,
    newEntry,
    NEWCOMER_VM,
    type RowPhase,
    processNumberOf,
    vmOfId,
} from "./move-state.js";
import type { Protocol } from "./protocol.js";

const MAX_PROCESSES_PER_VM = 2;
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
        listLengthAtRegistration: state.listHistory.length,
    })),
    registrations: [...state.registrations.filter(other => vmOfId(other) !== vmOfId(id)), id].sort(),
});

const recordConfirmation = (state: MoveState, id: string): MoveState => {
    const entry = state.entries.find(other => other.id === id);
    if (entry === undefined) {
        return state;
    }
    const confirmation = {
        id,
        passedTo: entry.passedTo,
        goneVms: entry.goneVms,
        inSecondRound: state.confirmedInFirstRound.length > 0,
    };
    const others = state.answers.filter(other => other.id !== id);
    return { ...state, answers: [...others, confirmation].sort((left, right) => (left.id < right.id ? -1 : 1)) };
};

const restart = (state: MoveState, id: string, cutFromPlatform: boolean): MoveState =>
    addEntry(removeEntry(state, id), newEntry(`${vmOfId(id)}/${processNumberOf(id) + 1}`, cutFromPlatform));

const killEntry = (state: MoveState, id: string): MoveState => {
    const rest = removeEntry(state, id);
    const vm = vmOfId(id);
    return {
        ...rest,
        entries: rest.entries.map(entry => (isReady(entry) ? { ...entry, goneVms: [...entry.goneVms, vm] } : entry)),
        listHistory: [...state.listHistory, `-${vm}`],
    };
};

const bootNewcomer = (state: MoveState, cutFromPlatform: boolean): MoveState => ({
    ...addEntry(state, newEntry(`${NEWCOMER_VM}/1`, cutFromPlatform)),
    listHistory: [...state.listHistory, `+${NEWCOMER_VM}`],
});

const addRow = (state: MoveState, row: RowPhase): MoveState => ({
    ...state,
    rows: [...state.rows, row],
    answers: [],
    confirmedInFirstRound: [],
});

const revisionOf = (state: MoveState, id: string): number =>
    state.entries.find(entry => entry.id === id)?.revision ?? -1;

const commit = (state: MoveState, disabledGuard: MoveGuard | undefined): MoveState => {
    const accepted = state.decidedAtRevision === headRevision(state) || disabledGuard === "compare-and-set";
    const decided = { ...state, decidedAtRevision: -1 };
    return accepted ? addRow(decided, "new-pool") : decided;
};

const applyStep = (state: MoveState, step: MoveStep, disabledGuard: MoveGuard | undefined): MoveState => {
    switch (step.type) {
        case "start-drain":
            return addRow(state, "draining");
        case "cancel-drain":
            return addRow(state, "old-pool");
        case "read-list":
            return { ...state, listReadLength: state.listReadLength + 1 };
        case "consider":
            return evaluateDrain(state, disabledGuard);
        case "commit":
            return commit(state, disabledGuard);
        case "new-manager":
            // The new manager has no confirmations, and the list that it reads may be older than its predecessor's.
            return {
                ...state,
                answers: [],
                confirmedInFirstRound: [],
                listReadLength: 2,
                listReadLengthAtStart: 2,
            };
        case "poll":
        case "load":
            return changeEntry(state, step.id, entry => ({ ...entry, revision: headRevision(state) }));
        case "route":
            return changeEntry(state, step.id, entry => ({ ...entry, request: "routed" }));
        case "send":
            return changeEntry(state, step.id, entry => ({ ...entry, request: "sent" }));
        case "finish":
            return changeEntry(state, step.id, entry => ({ ...entry, request: "none" }));
        case "answer":
            return recordConfirmation(state, step.id);
        case "register":
            return register(state, step.id);
        case "heal":
            return changeEntry(state, step.id, entry => ({ ...entry, cutFromPlatform: false }));
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

const entrySteps = (state: MoveState, entry: Entry, disabledGuard: MoveGuard | undefined): readonly MoveStep[] => {
    const { id } = entry;
    const head = headRevision(state);
    const isDraining = headRow(state) === "draining";
    const peers = state.entries.filter(peer => peer.id !== id && isReady(peer));
    const isIdle = entry.request === "none" || (disabledGuard === "in-flight-from-check" && entry.request === "routed");
    const hasDrainRevision = entry.revision >= head || (disabledGuard === "confirmed-revision" && isReady(entry));
    const previous = state.answers.find(confirmation => confirmation.id === id);
    const isNewConfirmation =
        previous === undefined || (state.confirmedInFirstRound.length > 0 && !previous.inSecondRound);
    const mayLoad = entry.registered || disabledGuard === "register-before-load";
    return [
        ...(isReady(entry) && !entry.cutFromPlatform && entry.revision < head ? [{ type: "poll", id } as const] : []),
        ...(isReady(entry) &&
        state.rows[entry.revision] === "old-pool" &&
        state.entries.every(({ request }) => request === "none")
            ? [{ type: "route", id } as const]
            : []),
        ...(entry.request === "routed" && disabledGuard === "in-flight-from-check"
            ? [{ type: "send", id } as const]
            : []),
        ...(entry.request !== "none" ? [{ type: "finish", id } as const] : []),
        ...(isDraining && isIdle && hasDrainRevision && isNewConfirmation ? [{ type: "answer", id } as const] : []),
        ...(!entry.cutFromPlatform && !entry.registered ? [{ type: "register", id } as const] : []),
        ...(!entry.cutFromPlatform && !isReady(entry) && mayLoad ? [{ type: "load", id } as const] : []),
        ...(entry.cutFromPlatform ? [{ type: "heal", id } as const] : []),
        ...peers
            .filter(peer => entry.cutFromPlatform && isReady(entry) && peer.revision > entry.revision)
            .map(peer => ({ type: "exchange", id, peer: peer.id }) as const),
        ...(entry.cutFromPlatform && !isReady(entry)
            ? peers.map(peer => ({ type: "load-from-peer", id, peer: peer.id }) as const)
            : []),
    ];
};

const managerSteps = (state: MoveState, options: MoveOptions): readonly MoveStep[] => {
    const row = headRow(state);
    const cancels = state.rows.slice(1).filter(other => other === "old-pool").length;
    const changesState = row === "draining" && evaluateDrain(state, options.disabledGuard) !== state;
    return [
        ...(row === "old-pool" ? [{ type: "start-drain" } as const] : []),
        ...(row === "draining" && cancels < (options.maxCancels ?? 0) ? [{ type: "cancel-drain" } as const] : []),
        ...(state.listReadLength < state.listHistory.length ? [{ type: "read-list" } as const] : []),
        ...(changesState ? [{ type: "consider" } as const] : []),
        ...(state.decidedAtRevision >= 0 ? [{ type: "commit" } as const] : []),
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
                  ...(processNumberOf(id) < MAX_PROCESSES_PER_VM
                      ? [{ type: "restart", id } as const, { type: "restart-cut", id } as const]
                      : []),
              ]),
          ];

/** After the move no entry may send a request to the VM as a member of its old pool. */
const findViolations = (state: MoveState): readonly string[] =>
    headRow(state) !== "new-pool"
        ? []
        : state.entries
              .filter(entry => entry.request !== "none" || state.rows[entry.revision] === "old-pool")
              .map(entry => `${entry.id} may send to the VM in its old pool after the move`);

const isFault = (step: MoveStep): boolean => faultTypes.includes(step.type);

/**
 * Models the move of one endpoint VM between pools: two entries, a third that may boot during the move, and a manager
 * that may be replaced.
 */
export const moveProtocol = (options: MoveOptions): Protocol<MoveState, MoveStep> => ({
    name: "moves",
    initial: initialMoveState,
    steps: state => [
        ...managerSteps(state, options),
        ...state.entries.flatMap(entry => entrySteps(state, entry, options.disabledGuard)),
        ...faultSteps(state, options),
    ],
    apply: (state, step) => {
        const next = applyStep(state, step, options.disabledGuard);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    keyOf: moveKey,
    violations: findViolations,
    isProgress: step => !isFault(step),
    // Without entries no process can confirm the drain, and no requests wait for the VM.
    isSettled: state => headRow(state) === "new-pool" || state.entries.length === 0,
});
