import type { Assignment } from "@almondusher/fleet/assignment";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Confirmation } from "./plan-input.js";
import type { ConfirmedDrain } from "./planner-state.js";
import type { RequiredEntry } from "./required-processes.js";

/** Whether a drain is complete, and otherwise what it waits for. */
export type DrainProgress =
    | { readonly kind: "complete" }
    /** Every required entry process has confirmed once; the same processes must confirm a second time. */
    | { readonly kind: "confirmed"; readonly drain: ConfirmedDrain }
    /**
     * Confirmed twice, but the VM list may be too old to include an entry process that received its state from a
     * predecessor of one of these processes.
     */
    | { readonly kind: "list-lags"; readonly drain: ConfirmedDrain; readonly processes: readonly ProcessId[] }
    /** Entry processes that have not confirmed the revision, and processes with requests in flight on the VM. */
    | { readonly kind: "blocked"; readonly entries: readonly string[]; readonly requests: readonly ProcessId[] };

export interface DrainProgressOptions {
    readonly vm: VmId;
    readonly sinceRevision: number;
    readonly required: readonly RequiredEntry[];
    readonly confirmations: readonly Confirmation[];
    /** The set of processes that had confirmed at an earlier plan, if any. */
    readonly previous: ConfirmedDrain | undefined;
    /** Number of the manager's latest status poll. */
    readonly round: number;
    /** Processes that registered so recently that the VM list may not include every VM that existed at that time. */
    readonly recentlyRegistered: readonly ProcessId[];
}

const findConfirmation = (entry: RequiredEntry, confirmations: readonly Confirmation[]): Confirmation | undefined => {
    switch (entry.kind) {
        case "process":
            return confirmations.find(confirmation => confirmation.processId === entry.processId);
        case "any-on-vm":
            return latestConfirmation(confirmations.filter(confirmation => confirmation.vm === entry.vm));
    }
};

const latestConfirmation = (confirmations: readonly Confirmation[]): Confirmation | undefined =>
    [...confirmations].sort((left, right) => right.round - left.round)[0];

const entryName = (entry: RequiredEntry): string => (entry.kind === "process" ? entry.processId : entry.vm);

/**
 * Decides whether any entry process can still send requests to a draining VM.
 * All required entry processes must confirm the drain, and then the same processes a second time. A process that
 * confirmed and was then replaced on its VM cannot confirm again; without the second round, its successor, which may
 * have received an older state from a peer, would be missed.
 * When a process is replaced, its record of the processes that it passed its state to is lost, so the VM list must be
 * recent enough to include them.
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
    const drain = keepOrCreateConfirmedDrain(options, confirmations);
    if (!isConfirmedAgain(options, confirmations)) {
        return { kind: "confirmed", drain };
    }
    const recent = drain.processes.filter(process => options.recentlyRegistered.includes(process));
    return recent.length === 0 ? { kind: "complete" } : { kind: "list-lags", drain, processes: recent };
};

const processesOf = (confirmations: readonly Confirmation[]): readonly ProcessId[] =>
    [...new Set(confirmations.map(confirmation => confirmation.processId))].sort();

const isSameConfirmation = (options: DrainProgressOptions, confirmations: readonly Confirmation[]): boolean =>
    options.previous?.sinceRevision === options.sinceRevision &&
    processesOf(confirmations).join() === options.previous.processes.join();

const isConfirmedAgain = (options: DrainProgressOptions, confirmations: readonly Confirmation[]): boolean => {
    const earlier = options.previous;
    return (
        earlier !== undefined &&
        isSameConfirmation(options, confirmations) &&
        confirmations.every(confirmation => confirmation.round > earlier.round)
    );
};

const keepOrCreateConfirmedDrain = (
    options: DrainProgressOptions,
    confirmations: readonly Confirmation[],
): ConfirmedDrain =>
    options.previous !== undefined && isSameConfirmation(options, confirmations)
        ? options.previous
        : {
              vm: options.vm,
              sinceRevision: options.sinceRevision,
              processes: processesOf(confirmations),
              round: options.round,
          };

export interface RowAfterDrainOptions {
    readonly row: Assignment;
    /** Boot id of the VM on the platform's list. */
    readonly bootId: string | undefined;
}

/**
 * Returns the assignment after its drain, or undefined if it is removed. A drain for maintenance leaves the row
 * unchanged while the platform does not list the VM, because the boot to replace is unknown.
 */
export const rowAfterDrain = ({ row, bootId }: RowAfterDrainOptions): Assignment | undefined => {
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
