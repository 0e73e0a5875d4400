import {
    type EntryConfirmation,
    type Entry,
    FIRST_VM,
    initialMoveState,
    type MoveState,
    SECOND_VM,
} from "./move-state.js";

const swapName = (name: string): string => {
    const rest = name.slice(FIRST_VM.length);
    if (name.startsWith(FIRST_VM)) {
        return SECOND_VM + rest;
    }
    return name.startsWith(SECOND_VM) ? FIRST_VM + rest : name;
};

type NameMapping = (name: string) => string;

const entryKey = (entry: Entry, mapName: NameMapping): string =>
    [
        mapName(entry.id),
        entry.revision,
        entry.request,
        entry.registered,
        entry.cutFromPlatform,
        entry.listLengthAtRegistration,
        entry.passedTo.map(mapName).sort().join("+"),
        entry.goneVms.map(mapName).sort().join("+"),
    ].join();

const confirmationKey = (confirmation: EntryConfirmation, mapName: NameMapping): string =>
    [
        mapName(confirmation.id),
        confirmation.inSecondRound,
        confirmation.passedTo.map(mapName).sort().join("+"),
        confirmation.goneVms.map(mapName).sort().join("+"),
    ].join();

const keyWithNames = (state: MoveState, mapName: NameMapping): string =>
    [
        state.rows.join(),
        state.entries
            .map(entry => entryKey(entry, mapName))
            .sort()
            .join("|"),
        state.registrations.map(mapName).sort().join(),
        state.listHistory
            .slice(initialMoveState.listHistory.length)
            .map(event => event[0] + mapName(event.slice(1)))
            .join(),
        state.listReadLength,
        state.answers
            .map(confirmation => confirmationKey(confirmation, mapName))
            .sort()
            .join("|"),
        state.confirmedInFirstRound.map(mapName).sort().join(),
        state.decidedAtRevision,
        state.faults,
    ].join(";");

/** Key that is the same for two states that differ only by swapping the first two entry VMs, which are symmetric. */
export const moveKey = (state: MoveState): string => {
    const original = keyWithNames(state, name => name);
    const swapped = keyWithNames(state, swapName);
    return original < swapped ? original : swapped;
};
