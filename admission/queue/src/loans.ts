import type { RequestId } from "@almondusher/fleet/ids";
import type { Admission, Running } from "./admission-state.js";

// A borrower that runs this many times longer than the limit for borrowing was misjudged.
const OVERDUE_FACTOR = 4;

/** Notes that a request borrowed the slot in which it starts. */
export const addLoan = (admission: Admission, id: RequestId): void => {
    admission.loans.order.push(id);
};

/** Counts the borrowers that hold their slot for too long; borrowing stops while there are any. */
export const findOverdueLoans = (admission: Admission, now: number): void => {
    const { loans } = admission;
    const latestStart = now - OVERDUE_FACTOR * admission.limits.borrowRunTimeMs;
    const stillCurrent = loans.order.findIndex(id => {
        const running = admission.running.get(id);
        if (running === undefined) {
            return false;
        }
        if (running.startedAt > latestStart) {
            return true;
        }
        running.isOverdue = true;
        loans.overdue += 1;
        return false;
    });
    loans.order.splice(0, stillCurrent === -1 ? loans.order.length : stillCurrent);
};

/** Ends the loan of a request that gives its slot back. */
export const endLoan = (admission: Admission, running: Running): void => {
    if (running.isOverdue) {
        admission.loans.overdue -= 1;
    }
};
