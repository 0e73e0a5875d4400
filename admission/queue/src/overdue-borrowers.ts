import type { RequestId } from "@almondusher/fleet/ids";
import { type Admission, type RunningRequest, teamOf } from "./admission-state.js";
import { countOwnRunning, updateTeamRings } from "./queue-operations.js";

// A borrower that runs this many times longer than `borrowRunTimeMs` is not a short request: its expected run time was
// wrong.
const OVERDUE_FACTOR = 4;

/**
 * Finds borrowers that have held their slot for too long and counts them against the guaranteed slots of their class,
 * as long requests are; their team does not borrow in that class until they end. Returns those found in this call.
 */
export const markOverdueBorrowers = (admission: Admission, now: number): readonly RequestId[] => {
    const latestStart = now - OVERDUE_FACTOR * admission.limits.borrowRunTimeMs;
    const firstRecentIndex = admission.borrowers.findIndex(
        id => (admission.running.get(id)?.startedAt ?? -Infinity) > latestStart,
    );
    const candidates = admission.borrowers.splice(
        0,
        firstRecentIndex === -1 ? admission.borrowers.length : firstRecentIndex,
    );
    return candidates.filter(id => {
        const running = admission.running.get(id);
        // A requeued request may be listed twice, and may have been restarted in a guaranteed slot of its class.
        const isOverdue = running?.slotKind === "borrowed";
        if (isOverdue) {
            markOverdue(admission, running);
        }
        return isOverdue;
    });
};

const markOverdue = (admission: Admission, running: RunningRequest): void => {
    const { urgency, team } = running.request;
    const state = teamOf(admission, team);
    running.isOverdue = true;
    running.isShort = false;
    running.slotKind = "own";
    countOwnRunning(admission.classes[urgency], running, 1);
    state.queues[urgency].overdue += 1;
    updateTeamRings(admission, state);
};
