import type { AssignmentPhase, DrainPurpose } from "@almondusher/fleet/assignment";

/** Describes the phase of an assignment in a few words, for tables. */
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

const describePurpose = (purpose: DrainPurpose): string => {
    switch (purpose.kind) {
        case "move":
            return `move to ${purpose.pool}`;
        case "maintenance":
        case "removal":
            return purpose.kind;
    }
};
