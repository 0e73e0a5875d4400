import { drainProgress } from "@almondusher/planner/complete-drains";
import type { Confirmation, EntryProcess } from "@almondusher/planner/plan-input";
import type { ConfirmedDrain } from "@almondusher/planner/planner-state";
import { requiredProcesses } from "@almondusher/planner/required-processes";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import { headOf, type MoveGuard, type MoveState, vmOfId } from "./move-state.js";

const WORK_VM = toId<VmId>("vm-1");

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

/** The manager weighs what it knows of the drain. */
export const consider = (state: MoveState, without: MoveGuard | undefined): MoveState => {
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
