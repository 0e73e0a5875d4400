import type { AssignmentPhase, DrainPurpose } from "@almondusher/fleet/assignment";

/** A short text for the phase of a VM. */
export const describePhase = (phase: AssignmentPhase): string => {
    switch (phase.kind) {
        case "serving":
            return "serving";
        case "draining":
            return `draining since revision ${phase.sinceRevision} for ${describePurpose(phase.purpose)}`;
        case "maintenance":
            return "maintenance";
    }
};

/** A short text for what a drain is for. */
const describePurpose = (purpose: DrainPurpose): string => {
    switch (purpose.kind) {
        case "move":
            return `move to ${purpose.pool}`;
        case "maintenance":
        case "removal":
            return purpose.kind;
    }
};
