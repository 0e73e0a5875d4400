import type { Assignment } from "@almondusher/fleet/assignment";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Confirmation } from "./plan-input.js";
import type { ConfirmedDrain } from "./planner-state.js";
import type { RequiredEntry } from "./required-processes.js";

/** How far a drain has come. */
export type DrainProgress =
    | { readonly kind: "complete" }
    /** Every required entry has confirmed; the same processes are asked once more. */
    | { readonly kind: "confirmed"; readonly drain: ConfirmedDrain }
    /** Confirmed twice, but the list may be too old to show a newcomer that one of these processes' predecessors fed. */
    | { readonly kind: "list-lags"; readonly drain: ConfirmedDrain; readonly processes: readonly ProcessId[] }
    /** Entries that have not confirmed the revision, and processes that still have requests on the VM. */
    | { readonly kind: "blocked"; readonly entries: readonly string[]; readonly requests: readonly ProcessId[] };

export interface DrainProgressOptions {
    readonly vm: VmId;
    readonly sinceRevision: number;
    readonly required: readonly RequiredEntry[];
    readonly confirmations: readonly Confirmation[];
    /** The set that had confirmed at an earlier plan, if any. */
    readonly earlier: ConfirmedDrain | undefined;
    /** Number of the manager's latest question. */
    readonly round: number;
    /** Processes that registered so recently that the list as read may not show every VM of that time. */
    readonly recentProcesses: readonly ProcessId[];
}

const findConfirmation = (entry: RequiredEntry, confirmations: readonly Confirmation[]): Confirmation | undefined => {
    switch (entry.kind) {
        case "process":
            return confirmations.find(confirmation => confirmation.processId === entry.processId);
        case "any-on-vm":
            return latest(confirmations.filter(confirmation => confirmation.vm === entry.vm));
    }
};

const latest = (confirmations: readonly Confirmation[]): Confirmation | undefined =>
    [...confirmations].sort((left, right) => right.round - left.round)[0];

const entryName = (entry: RequiredEntry): string => (entry.kind === "process" ? entry.processId : entry.vm);

/**
 * Decides whether nobody can send to a draining VM any more.
 * All required entries must confirm, and then the same processes once more: a process that confirmed and was replaced
 * in place cannot confirm again, so its successor, which may have an older state from a peer, is not overlooked.
 * A replaced process also takes with it the names of those it passed its state to, so the list must be recent enough to
 * show them.
 */
export const drainProgress = (options: DrainProgressOptions): DrainProgress => {
    const answers = options.required.map(entry => ({
        entry,
        confirmation: findConfirmation(entry, options.confirmations),
    }));
    const missing = answers.filter(({ confirmation }) => (confirmation?.revision ?? 0) < options.sinceRevision);
    const confirmations = answers.map(answer => answer.confirmation).filter(answer => answer !== undefined);
    const busy = confirmations.filter(confirmation => confirmation.inFlightVms.includes(options.vm));
    if (missing.length > 0 || busy.length > 0 || options.required.length === 0) {
        return {
            kind: "blocked",
            entries: missing.map(({ entry }) => entryName(entry)),
            requests: busy.map(confirmation => confirmation.processId),
        };
    }
    const drain = keepOrStart(options, confirmations);
    if (!isConfirmedAgain(options, confirmations)) {
        return { kind: "confirmed", drain };
    }
    const recent = drain.processes.filter(process => options.recentProcesses.includes(process));
    return recent.length === 0 ? { kind: "complete" } : { kind: "list-lags", drain, processes: recent };
};

const processesOf = (confirmations: readonly Confirmation[]): readonly ProcessId[] =>
    [...new Set(confirmations.map(confirmation => confirmation.processId))].sort();

const isSameDrain = (options: DrainProgressOptions, confirmations: readonly Confirmation[]): boolean =>
    options.earlier?.sinceRevision === options.sinceRevision &&
    processesOf(confirmations).join() === options.earlier.processes.join();

const isConfirmedAgain = (options: DrainProgressOptions, confirmations: readonly Confirmation[]): boolean => {
    const earlier = options.earlier;
    return (
        earlier !== undefined &&
        isSameDrain(options, confirmations) &&
        confirmations.every(confirmation => confirmation.round > earlier.round)
    );
};

const keepOrStart = (options: DrainProgressOptions, confirmations: readonly Confirmation[]): ConfirmedDrain =>
    options.earlier !== undefined && isSameDrain(options, confirmations)
        ? options.earlier
        : {
              vm: options.vm,
              sinceRevision: options.sinceRevision,
              processes: processesOf(confirmations),
              round: options.round,
          };

export interface CompletedRowOptions {
    readonly row: Assignment;
    /** Boot of the VM on the platform's list. */
    readonly bootId: string | undefined;
}

/** What becomes of a row whose drain is complete; the row itself if the platform does not list the VM to be rebooted. */
export const completedRow = ({ row, bootId }: CompletedRowOptions): Assignment | undefined => {
    if (row.phase.kind !== "draining") {
        return row;
    }
    switch (row.phase.purpose.kind) {
        case "move":
            return { ...row, pool: row.phase.purpose.pool, phase: { kind: "serving" } };
        case "maintenance":
            return bootId === undefined ? row : { ...row, phase: { kind: "maintenance", bootId } };
        case "removal":
            return undefined;
    }
};
