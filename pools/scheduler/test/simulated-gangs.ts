import type { SimulatedTime } from "./simulated-time.js";

/** A member of one run of a gang that is present on an executor. */
export interface GangMember {
    readonly end: (how: "done" | "failed" | "broken" | "alone") => void;
    /** True while runs on the executor fail. */
    readonly isFailing: () => boolean;
}

/** What the members of one run of a gang have in common. */
export interface GangRun {
    /** Names the step and the run. */
    readonly key: string;
    readonly size: number;
    readonly workMs: number;
}

/** The runs of gangs on all executors. */
export interface SimulatedGangs {
    readonly join: (gang: GangRun, member: GangMember) => void;
    /** Must be called when a member has ended or its executor has. The others end as `broken` if they were at work. */
    readonly leave: (gang: GangRun, member: GangMember) => void;
}

/** Time for which a member waits for the others, in milliseconds. */
export const GANG_TIMEOUT_MS = 3000;

interface PresentGang {
    readonly members: Set<GangMember>;
    isAtWork: boolean;
}

/** Creates the gangs of a pool; none is present. */
export const createSimulatedGangs = (time: SimulatedTime): SimulatedGangs => {
    const gangs = new Map<string, PresentGang>();
    const endAll = (gang: GangRun, present: PresentGang): void => {
        gangs.delete(gang.key);
        const members = [...present.members];
        const failing = members.some(member => member.isFailing());
        members.forEach(member => member.end(failing ? (member.isFailing() ? "failed" : "broken") : "done"));
    };
    return {
        join: (gang, member) => {
            const present = gangs.get(gang.key) ?? { members: new Set(), isAtWork: false };
            gangs.set(gang.key, present);
            present.members.add(member);
            if (present.members.size === gang.size) {
                present.isAtWork = true;
                time.after(gang.workMs, () => {
                    if (gangs.get(gang.key) === present) {
                        endAll(gang, present);
                    }
                });
                return;
            }
            time.after(GANG_TIMEOUT_MS, () => {
                if (present.members.has(member) && !present.isAtWork) {
                    member.end("alone");
                }
            });
        },
        leave: (gang, member) => {
            const present = gangs.get(gang.key);
            if (present === undefined || !present.members.delete(member)) {
                return;
            }
            if (present.isAtWork || present.members.size === 0) {
                gangs.delete(gang.key);
                present.members.forEach(other => other.end("broken"));
            }
        },
    };
};
