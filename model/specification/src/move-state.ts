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
/** One of the rules. */
export type MoveGuard = (typeof moveGuards)[number];

/** What the row of the moving VM says at each revision. */
export type Row = "old-pool" | "draining" | "new-pool";

/** An entry process. */
export interface Entry {
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

/** What a process answered last. */
export interface Answer {
    readonly id: string;
    readonly passedTo: readonly string[];
    readonly gone: readonly string[];
    /** Given after the first complete set. */
    readonly again: boolean;
}

/** A state of the protocol. */
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

/** A step of the protocol. */
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

/** Bounds of an exploration. */
export interface MoveOptions {
    readonly without?: MoveGuard;
    readonly maxFaults: number;
    /** Faults that may happen; all if absent. */
    readonly faults?: readonly MoveStep["type"][];
    readonly maxCancels?: number;
}

/** The entry VMs of the model; the first two run from the start. */
export const FIRST_VM = "entry-1";
/** The second entry VM. */
export const SECOND_VM = "entry-2";
/** The entry VM that boots later. */
export const NEWCOMER_VM = "entry-3";

/** VM on which a process runs. */
export const vmOfId = (id: string): string => id.split("/")[0] ?? id;
/** Number of a process among those on its VM. */
export const runOf = (id: string): number => Number(id.split("/")[1]);
/** Latest revision. */
export const headOf = (state: MoveState): number => state.rows.length - 1;
/** Row at the latest revision. */
export const headRow = (state: MoveState): Row | undefined => state.rows.at(-1);
/** True if the process has a state. */
export const isReady = (entry: Entry): boolean => entry.revision >= 0;

/** A process that has just started. */
export const newEntry = (id: string, cut: boolean): Entry => ({
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

/** Both entries in service, the VM in its old pool. */
export const initialMoveState: MoveState = {
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
