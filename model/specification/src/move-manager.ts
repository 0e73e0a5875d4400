import { drainProgress } from "@almondusher/planner/complete-drains";
import type { Confirmation, EntryProcess } from "@almondusher/planner/plan-input";
import type { ConfirmedDrain } from "@almondusher/planner/planner-state";
import { requiredProcesses } from "@almondusher/planner/required-processes";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import { headRevision, type MoveGuard, type MoveState, vmOfId } from "./move-state.js";

const DRAINING_VM = toId<VmId>("vm-1");

const listedVms = (history: readonly string[]): readonly string[] =>
    history
        .filter((event, index) => event.startsWith("+") && !history.slice(index).includes(`-${event.slice(1)}`))
        .map(event => event.slice(1));

const seenVms = (state: MoveState): readonly string[] => [
    ...new Set([
        ...listedVms(state.listHistory.slice(0, state.listReadLengthAtStart)),
        ...state.listHistory
            .slice(state.listReadLengthAtStart, state.listReadLength)
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

const confirmationsOf = (state: MoveState, disabledGuard: MoveGuard | undefined): readonly Confirmation[] =>
    state.answers.map(confirmation => ({
        ...processOf(confirmation.id),
        revision: headRevision(state),
        round: confirmation.inSecondRound ? 2 : 1,
        inFlightVms: [],
        passedTo: disabledGuard === "named-by-giver" ? [] : confirmation.passedTo.map(processOf),
        goneEntryVms: confirmation.goneVms.map(vm => toId<VmId>(vm)),
    }));

const computeDrainProgress = (state: MoveState, disabledGuard: MoveGuard | undefined) => {
    const listed = listedVms(state.listHistory.slice(0, state.listReadLength));
    const registrations = disabledGuard === "all-registered" ? state.registrations.slice(0, 1) : state.registrations;
    // With the guard disabled, every registered VM counts as seen on the list. A VM that is not listed yet is then taken
    // for one that has gone.
    const seen = disabledGuard === "seen-before-gone" ? state.registrations.map(vmOfId) : seenVms(state);
    const confirmations = confirmationsOf(state, disabledGuard);
    const required = requiredProcesses({
        registrations: registrations.map(processOf),
        vms: listed.map(vmRecord),
        confirmations,
        seenEntryVms: seen.map(vm => toId<VmId>(vm)),
    }).filter(
        entry =>
            (disabledGuard !== "listed-without-registration" || entry.kind !== "any-on-vm") &&
            (disabledGuard !== "all-registered" || registrations.some(id => vmOfId(id) === entry.vm)),
    );
    const previousDrain: ConfirmedDrain | undefined =
        state.confirmedInFirstRound.length === 0
            ? undefined
            : {
                  vm: DRAINING_VM,
                  sinceRevision: headRevision(state),
                  processes: state.confirmedInFirstRound.map(id => toId<ProcessId>(id)),
                  round: 1,
              };
    const recentlyRegistered = state.entries
        .filter(entry => entry.listLengthAtRegistration > state.listReadLength)
        .map(entry => entry.id);
    return drainProgress({
        vm: DRAINING_VM,
        sinceRevision: headRevision(state),
        required,
        confirmations,
        previous: previousDrain,
        round: 1,
        recentlyRegistered:
            disabledGuard === "list-covers-newcomer" ? [] : recentlyRegistered.map(id => toId<ProcessId>(id)),
    });
};

/** Applies the planner's drain progress, as the manager computes it from the confirmations and the list it has read. */
export const evaluateDrain = (state: MoveState, disabledGuard: MoveGuard | undefined): MoveState => {
    const progress = computeDrainProgress(state, disabledGuard);
    switch (progress.kind) {
        case "complete":
            return { ...state, decidedAtRevision: headRevision(state) };
        case "confirmed":
            if (disabledGuard === "confirmed-twice") {
                return { ...state, decidedAtRevision: headRevision(state) };
            }
            return progress.drain.processes.join() === state.confirmedInFirstRound.join()
                ? state
                : {
                      ...state,
                      confirmedInFirstRound: [...progress.drain.processes],
                      answers: state.answers.map(confirmation => ({
                          ...confirmation,
                          inSecondRound: false,
                      })),
                  };
        case "list-lags":
            return state;
        case "blocked":
            return { ...state, confirmedInFirstRound: [] };
    }
};
