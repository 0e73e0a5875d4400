import { type Answer, type Entry, FIRST_VM, initialMoveState, type MoveState, SECOND_VM } from "./move-state.js";

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
            .slice(initialMoveState.listHistory.length)
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

/** Text that is equal for states in which the first two entries have changed places. */
export const moveKey = (state: MoveState): string => {
    const plain = renamedKey(state, name => name);
    const swapped = renamedKey(state, swapName);
    return plain < swapped ? plain : swapped;
};
