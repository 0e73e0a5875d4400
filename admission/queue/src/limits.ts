import type { AdmissionLimits } from "./admission-options.js";
import { type Admission, quotaOf } from "./admission-state.js";
import { updateTeamTurns } from "./queue-moves.js";

/** Applies changed limits; requests that run or wait already stay. */
export const changeLimits = (admission: Admission, limits: AdmissionLimits): void => {
    admission.limits = limits;
    admission.teams.forEach(team => {
        team.quota = quotaOf(limits, team.name);
        updateTeamTurns(admission, team);
    });
};
