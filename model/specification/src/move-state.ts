/** Rules of the protocol; without any one of them the explorer must find a broken invariant. */
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

/** Phase of the moving VM's assignment row at one revision. */
export type RowPhase = "old-pool" | "draining" | "new-pool";

/** An entry process. */
export interface Entry {
    readonly id: string;
    readonly vm: string;
    /** Revision of the fleet state in use; -1 until the process has loaded one. */
    readonly revision: number;
    /** A request to the VM in its old pool: routed to it but not sent yet, or sent. */
    readonly request: "none" | "routed" | "sent";
    readonly registered: boolean;
    /** The process cannot reach the platform. */
    readonly cutFromPlatform: boolean;
    /** Processes that loaded their state from this one. */
    readonly passedTo: readonly string[];
    /** Length of `listHistory` when the process registered. */
    readonly listLengthAtRegistration: number;
    /** Entry VMs that the process has seen disappear from the list. */
    readonly goneVms: readonly string[];
}

/** Latest confirmation of the drain by a process. */
export interface EntryConfirmation {
    readonly id: string;
    readonly passedTo: readonly string[];
    readonly goneVms: readonly string[];
    /** The confirmation was given after all required processes had confirmed once. */
    readonly inSecondRound: boolean;
}

export interface MoveState {
    /** Phase of the row by revision. The last one is the latest revision. */
    readonly rows: readonly RowPhase[];
    readonly entries: readonly Entry[];
    /** Registered processes, at most one for each VM. */
    readonly registrations: readonly string[];
    /** Changes of the VM list, in order: `+vm` for an addition and `-vm` for a removal. */
    readonly listHistory: readonly string[];
    /** Number of changes that the manager has read. */
    readonly listReadLength: number;
    /** Number of changes that the list already contained when the manager first read it. */
    readonly listReadLengthAtStart: number;
    /** Latest confirmation of each process since the latest revision. */
    readonly answers: readonly EntryConfirmation[];
    /** Processes that confirmed in the first round. Empty until that round is complete. */
    readonly confirmedInFirstRound: readonly string[];
    /** Revision at which the manager decided to complete the drain; -1 if none. The write may take effect at any time. */
    readonly decidedAtRevision: number;
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

/** Guard to disable, if any, and bounds of the exploration. */
export interface MoveOptions {
    readonly disabledGuard?: MoveGuard;
    readonly maxFaults: number;
    /** Types of faults to explore. All if absent. */
    readonly faults?: readonly MoveStep["type"][];
    readonly maxCancels?: number;
}

/** An entry VM that runs from the start. */
export const FIRST_VM = "entry-1";
/** The other entry VM that runs from the start. */
export const SECOND_VM = "entry-2";
/** An entry VM that may boot during the move. */
export const NEWCOMER_VM = "entry-3";

/** VM of a process id such as `entry-1/2`. */
export const vmOfId = (id: string): string => id.split("/")[0] ?? id;
/** Number of a process on its VM: 2 for `entry-1/2`. */
export const processNumberOf = (id: string): number => Number(id.split("/")[1]);
export const headRevision = (state: MoveState): number => state.rows.length - 1;
/** Phase of the row at the latest revision. */
export const headRow = (state: MoveState): RowPhase | undefined => state.rows.at(-1);
/** True if the process has loaded a fleet state. */
export const isReady = (entry: Entry): boolean => entry.revision >= 0;

/** A process that has just started and has no fleet state yet. */
export const newEntry = (id: string, cutFromPlatform: boolean): Entry => ({
    id,
    vm: vmOfId(id),
    revision: -1,
    request: "none",
    registered: false,
    cutFromPlatform,
    passedTo: [],
    listLengthAtRegistration: 0,
    goneVms: [],
});

const firstEntry = (vm: string): Entry => ({ ...newEntry(`${vm}/1`, false), revision: 0, registered: true });

/** Both first entries are in service and the VM is in its old pool. */
export const initialMoveState: MoveState = {
    rows: ["old-pool"],
    entries: [firstEntry(FIRST_VM), firstEntry(SECOND_VM)],
    registrations: [`${FIRST_VM}/1`, `${SECOND_VM}/1`],
    listHistory: [`+${FIRST_VM}`, `+${SECOND_VM}`],
    listReadLength: 2,
    listReadLengthAtStart: 2,
    answers: [],
    confirmedInFirstRound: [],
    decidedAtRevision: -1,
    faults: 0,
};
