import { drainProgress } from "@almondusher/planner/complete-drains";
import type { Confirmation, EntryProcess } from "@almondusher/planner/plan-input";
import type { ConfirmedDrain } from "@almondusher/planner/planner-state";
import { requiredProcesses } from "@almondusher/planner/required-processes";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Protocol } from "./protocol.js";

/** Rules whose removal must break an invariant. */
export const moveGuards = [
    "in-flight-from-check",
    "confirmed-revision",
    "all-registered",
    "listed-without-registration",
    "named-by-giver",
    "confirmed-twice",
    "seen-before-gone",
    "register-before-load",
    "compare-and-set",
    "list-covers-newcomer",
] as const;
export type MoveGuard = (typeof moveGuards)[number];

/** What the row of the moving VM says at each revision. */
type Row = "old-pool" | "draining" | "new-pool";

interface Entry {
    readonly id: string;
    readonly vm: string;
    /** Revision in force; -1 before the process has a state. */
    readonly revision: number;
    /** Request for the VM in its old pool: routed, or sent as well. */
    readonly work: "none" | "routed" | "sent";
    readonly registered: boolean;
    /** Cut off from the platform. */
    readonly cut: boolean;
    readonly passedTo: readonly string[];
    /** Length of the list's history when the process registered. */
    readonly listAtRegistration: number;
    /** Entry VMs that it saw leave the list. */
    readonly gone: readonly string[];
}

interface Answer {
    readonly id: string;
    readonly passedTo: readonly string[];
    readonly gone: readonly string[];
    /** Given after the first complete set. */
    readonly again: boolean;
}

export interface MoveState {
    /** One row for each revision; the last is the head. */
    readonly rows: readonly Row[];
    readonly entries: readonly Entry[];
    /** Process registered on each VM. */
    readonly registrations: readonly string[];
    /** History of the list: +vm and -vm. */
    readonly listHistory: readonly string[];
    /** Part of the history that the manager has read. */
    readonly listRead: number;
    readonly listStart: number;
    readonly answers: readonly Answer[];
    readonly confirmed: readonly string[];
    /** Revision on which the manager decided to complete the drain; the write may arrive at any time. */
    readonly decidedOn: number;
    readonly faults: number;
}

export type MoveStep =
    | { readonly type: "start-drain" | "cancel-drain" | "read-list" | "consider" | "commit" | "new-manager" }
    | {
          readonly type:
              | "poll"
              | "route"
              | "send"
              | "finish"
              | "answer"
              | "register"
              | "load"
              | "heal"
              | "kill"
              | "restart"
              | "restart-cut";
          readonly id: string;
      }
    | { readonly type: "boot" | "boot-cut" }
    | { readonly type: "exchange" | "load-from-peer"; readonly id: string; readonly peer: string };

export interface MoveOptions {
    readonly without?: MoveGuard;
    readonly maxFaults: number;
    /** Faults that may happen; all if absent. */
    readonly faults?: readonly MoveStep["type"][];
    readonly maxCancels?: number;
}

const FIRST_VM = "entry-1";
const SECOND_VM = "entry-2";
const NEWCOMER_VM = "entry-3";
const MAX_RUNS = 2;
const WORK_VM = toId<VmId>("vm-1");
const faultTypes: readonly MoveStep["type"][] = ["new-manager", "kill", "restart", "restart-cut", "boot", "boot-cut"];

const vmOfId = (id: string): string => id.split("/")[0] ?? id;
const runOf = (id: string): number => Number(id.split("/")[1]);
const headOf = (state: MoveState): number => state.rows.length - 1;
const headRow = (state: MoveState): Row | undefined => state.rows.at(-1);
const isReady = (entry: Entry): boolean => entry.revision >= 0;

const newEntry = (id: string, cut: boolean): Entry => ({
    id,
    vm: vmOfId(id),
    revision: -1,
    work: "none",
    registered: false,
    cut,
    passedTo: [],
    listAtRegistration: 0,
    gone: [],
});

const firstEntry = (vm: string): Entry => ({ ...newEntry(`${vm}/1`, false), revision: 0, registered: true });

const initial: MoveState = {
    rows: ["old-pool"],
    entries: [firstEntry(FIRST_VM), firstEntry(SECOND_VM)],
    registrations: [`${FIRST_VM}/1`, `${SECOND_VM}/1`],
    listHistory: [`+${FIRST_VM}`, `+${SECOND_VM}`],
    listRead: 2,
    listStart: 2,
    answers: [],
    confirmed: [],
    decidedOn: -1,
    faults: 0,
};

const listedVms = (history: readonly string[]): readonly string[] =>
    history
        .filter((event, index) => event.startsWith("+") && !history.slice(index).includes(`-${event.slice(1)}`))
        .map(event => event.slice(1));

const seenVms = (state: MoveState): readonly string[] => [
    ...new Set([
        ...listedVms(state.listHistory.slice(0, state.listStart)),
        ...state.listHistory
            .slice(state.listStart, state.listRead)
            .filter(event => event.startsWith("+"))
            .map(event => event.slice(1)),
    ]),
];

const vmRecord = (id: string): Vm => ({
    id: toId(id),
    role: "entry",
    state: "live",
    bootId: id,
    address: "10.0.0.1:1",
    rack: toId("rack"),
    dataCentre: toId("north"),
});

const processOf = (id: string): EntryProcess => ({ processId: toId(id), vm: toId(vmOfId(id)) });

const confirmationsOf = (state: MoveState, without: MoveGuard | undefined): readonly Confirmation[] =>
    state.answers.map(answer => ({
        ...processOf(answer.id),
        revision: headOf(state),
        round: answer.again ? 2 : 1,
        inFlightVms: [],
        passedTo: without === "named-by-giver" ? [] : answer.passedTo.map(processOf),
        goneEntryVms: answer.gone.map(vm => toId<VmId>(vm)),
    }));

const considerDrain = (state: MoveState, without: MoveGuard | undefined) => {
    const listed = listedVms(state.listHistory.slice(0, state.listRead));
    const registrations = without === "all-registered" ? state.registrations.slice(0, 1) : state.registrations;
    // Without the guard every registered VM counts as seen, so that absence from the list means that it has gone.
    const seen = without === "seen-before-gone" ? state.registrations.map(vmOfId) : seenVms(state);
    const confirmations = confirmationsOf(state, without);
    const required = requiredProcesses({
        registrations: registrations.map(processOf),
        vms: listed.map(vmRecord),
        confirmations,
        seenEntryVms: seen.map(vm => toId<VmId>(vm)),
    }).filter(
        entry =>
            (without !== "listed-without-registration" || entry.kind !== "any-on-vm") &&
            (without !== "all-registered" || registrations.some(id => vmOfId(id) === entry.vm)),
    );
    const earlier: ConfirmedDrain | undefined =
        state.confirmed.length === 0
            ? undefined
            : {
                  vm: WORK_VM,
                  sinceRevision: headOf(state),
                  processes: state.confirmed.map(id => toId<ProcessId>(id)),
                  round: 1,
              };
    const recent = state.entries.filter(entry => entry.listAtRegistration > state.listRead).map(entry => entry.id);
    return drainProgress({
        vm: WORK_VM,
        sinceRevision: headOf(state),
        required,
        confirmations,
        earlier,
        round: 1,
        recentProcesses: without === "list-covers-newcomer" ? [] : recent.map(id => toId<ProcessId>(id)),
    });
};

const consider = (state: MoveState, without: MoveGuard | undefined): MoveState => {
    const progress = considerDrain(state, without);
    switch (progress.kind) {
        case "complete":
            return { ...state, decidedOn: headOf(state) };
        case "confirmed":
            if (without === "confirmed-twice") {
                return { ...state, decidedOn: headOf(state) };
            }
            return progress.drain.processes.join() === state.confirmed.join()
                ? state
                : {
                      ...state,
                      confirmed: [...progress.drain.processes],
                      answers: state.answers.map(answer => ({ ...answer, again: false })),
                  };
        case "list-lags":
            return state;
        case "blocked":
            return { ...state, confirmed: [] };
    }
};

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

const swapName = (name: string): string => {
    const rest = name.slice(FIRST_VM.length);
    if (name.startsWith(FIRST_VM)) {
        return SECOND_VM + rest;
    }
    return name.startsWith(SECOND_VM) ? FIRST_VM + rest : name;
};

type Rename = (name: string) => string;

const entryKey = (entry: Entry, rename: Rename): string =>
    [
        rename(entry.id),
        entry.revision,
        entry.work,
        entry.registered,
        entry.cut,
        entry.listAtRegistration,
        entry.passedTo.map(rename).sort().join("+"),
        entry.gone.map(rename).sort().join("+"),
    ].join();

const answerKey = (answer: Answer, rename: Rename): string =>
    [
        rename(answer.id),
        answer.again,
        answer.passedTo.map(rename).sort().join("+"),
        answer.gone.map(rename).sort().join("+"),
    ].join();

const renamedKey = (state: MoveState, rename: Rename): string =>
    [
        state.rows.join(),
        state.entries
            .map(entry => entryKey(entry, rename))
            .sort()
            .join("|"),
        state.registrations.map(rename).sort().join(),
        state.listHistory
            .slice(initial.listHistory.length)
            .map(event => event[0] + rename(event.slice(1)))
            .join(),
        state.listRead,
        state.answers
            .map(answer => answerKey(answer, rename))
            .sort()
            .join("|"),
        state.confirmed.map(rename).sort().join(),
        state.decidedOn,
        state.faults,
    ].join(";");

// The first two entries are interchangeable.
const canonicalKey = (state: MoveState): string => {
    const plain = renamedKey(state, name => name);
    const swapped = renamedKey(state, swapName);
    return plain < swapped ? plain : swapped;
};

/** The protocol of a move: one endpoint VM, two entries and a newcomer, a manager that may be replaced. */
export const moveProtocol = (options: MoveOptions): Protocol<MoveState, MoveStep> => ({
    name: "moves",
    initial,
    steps: state => [
        ...managerSteps(state, options),
        ...state.entries.flatMap(entry => entrySteps(state, entry, options.without)),
        ...faultSteps(state, options),
    ],
    apply: (state, step) => {
        const next = applyStep(state, step, options.without);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    keyOf: canonicalKey,
    violations: findViolations,
    isProgress: step => !isFault(step),
    // Without any entry nobody can confirm, and nobody waits for the VM.
    isSettled: state => headRow(state) === "new-pool" || state.entries.length === 0,
});
