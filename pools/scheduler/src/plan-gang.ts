import { chooseTogether, type PlannedMember, type TicketedExecutors } from "./choose-executor.js";
import type { OpenStep } from "./pool-tables.js";
import type { FreeByExecutor } from "./resources.js";

/**
 * Chooses executors for all members of a gang, on one rack where the step prefers that and a rack has room; undefined if they
 * do not fit together.
 */
export const planGang = (
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    tickets: TicketedExecutors,
): readonly PlannedMember[] | undefined => {
    const planIn = (room: FreeByExecutor): readonly PlannedMember[] | undefined =>
        chooseTogether(step.tasks, { freeByExecutor: room, ticketsOf: () => tickets, planned: [] });
    const racks = step.step.sameRack ? [...new Set([...freeByExecutor.keys()].map(({ rack }) => rack))] : [];
    const onRacks = racks.map(
        rack => () => planIn(new Map([...freeByExecutor].filter(([executor]) => executor.rack === rack))),
    );
    return [...onRacks, () => planIn(new Map(freeByExecutor))].reduce<readonly PlannedMember[] | undefined>(
        (found, plan) => found ?? plan(),
        undefined,
    );
};
