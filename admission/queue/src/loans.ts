import type { RequestId } from "@almondusher/fleet/ids";
import { type Admission, type Running, teamOf } from "./admission-state.js";
import { countOwn, updateTeamTurns } from "./queue-moves.js";

// A borrower that runs this many times longer than the limit for borrowing was misjudged.
const OVERDUE_FACTOR = 4;

/**
 * Finds borrowers that hold their slot for too long and charges them to the share of their own class like long
 * requests; their team does not borrow until they end. Returns the new ones.
 */
export const findOverdueLoans = (admission: Admission, now: number): readonly RequestId[] => {
    const latestStart = now - OVERDUE_FACTOR * admission.limits.borrowRunTimeMs;
    const firstRecent = admission.loans.findIndex(
        id => (admission.running.get(id)?.startedAt ?? -Infinity) > latestStart,
    );
    const old = admission.loans.splice(0, firstRecent === -1 ? admission.loans.length : firstRecent);
    return old.filter(id => {
        const running = admission.running.get(id);
        // A request that was put back may be listed twice, and may since have started in a slot of its own class.
        const isOverdue = running?.slotKind === "borrowed";
        if (isOverdue) {
            markOverdue(admission, running);
        }
        return isOverdue;
    });
};

const markOverdue = (admission: Admission, running: Running): void => {
    const { urgency, team } = running.request;
    const state = teamOf(admission, team);
    running.isOverdue = true;
    running.isShort = false;
    running.slotKind = "own";
    countOwn(admission.classes[urgency], running, 1);
    state.queues[urgency].overdue += 1;
    updateTeamTurns(admission, state);
};
