import { chooseExecutor, type PlannedMember, type TicketedExecutors } from "./choose-executor.js";
import type { OpenStep } from "./pool-tables.js";
import { demandOf, subtract, type FreeByExecutor } from "./resources.js";

/**
 * Chooses executors for all members of a gang, on one rack where the step prefers that and a rack has room; undefined if they
 * do not fit together.
 */
export const planGang = (
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    tickets: TicketedExecutors,
): readonly PlannedMember[] | undefined => {
    const racks = step.step.sameRack ? [...new Set([...freeByExecutor.keys()].map(({ rack }) => rack))] : [];
    const onRacks = racks.map(
        rack => () =>
            planMembers(step, new Map([...freeByExecutor].filter(([executor]) => executor.rack === rack)), tickets),
    );
    return [...onRacks, () => planMembers(step, new Map(freeByExecutor), tickets)].reduce<
        readonly PlannedMember[] | undefined
    >((found, plan) => found ?? plan(), undefined);
};

const planMembers = (
    step: OpenStep,
    trial: FreeByExecutor,
    tickets: TicketedExecutors,
): readonly PlannedMember[] | undefined => {
    const planned: PlannedMember[] = [];
    const complete = step.tasks.every(task => {
        const executor = chooseExecutor(task, { freeByExecutor: trial, tickets, planned });
        if (executor === undefined) {
            return false;
        }
        trial.set(executor, subtract(trial.get(executor) ?? executor.record.capacity, demandOf(step.step)));
        planned.push({ task, executor });
        return true;
    });
    return complete ? planned : undefined;
};
