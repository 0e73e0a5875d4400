import type { AdmissionLimits } from "./admission-options.js";
import { type Admission, quotaOf } from "./admission-state.js";
import { updateTeamRings } from "./queue-operations.js";

/** Applies changed limits; running and queued requests are not affected. */
export const changeLimits = (admission: Admission, limits: AdmissionLimits): void => {
    admission.limits = limits;
    admission.teams.forEach(team => {
        team.quota = quotaOf(limits, team.name);
        updateTeamRings(admission, team);
    });
};
