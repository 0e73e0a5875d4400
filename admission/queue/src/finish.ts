import type { RequestId } from "@almondusher/fleet/ids";
import { type Admission, forgetIdleTeam, type Running, teamOf } from "./admission-state.js";
import { chargeClass, countOwn, dequeue, enqueue, updateTeamTurns } from "./queue-moves.js";
import { learnRunTime } from "./run-times.js";

/** Releases the slot of a request that ended at `now` (milliseconds) and learns its run time; unknown ids are ignored. */
export const finish = (admission: Admission, id: RequestId, now: number): void => {
    const running = admission.running.get(id);
    if (running === undefined) {
        return;
    }
    const actualMs = Math.max(0, now - running.startedAt);
    chargeClass(admission, running, actualMs - running.chargedMs);
    learnRunTime(admission.classes[running.request.urgency].runTimes, actualMs, running.chargedMs);
    release(admission, running);
};

/** Releases the slot or the place of a request whose caller has gone; its run time is not learned. */
export const cancel = (admission: Admission, id: RequestId): "running" | "queued" | "unknown" => {
    const running = admission.running.get(id);
    if (running !== undefined) {
        release(admission, running);
        return "running";
    }
    const waiting = admission.waiting.get(id);
    if (waiting === undefined) {
        return "unknown";
    }
    dequeue(admission, waiting);
    forgetIdleTeam(admission, teamOf(admission, waiting.request.team));
    return "queued";
};

/** Returns a request that an endpoint refused to its queue; its slot is free again and its deadline unchanged. */
export const putBack = (admission: Admission, id: RequestId): void => {
    const running = admission.running.get(id);
    if (running !== undefined) {
        chargeClass(admission, running, -running.chargedMs);
        release(admission, running);
        enqueue(admission, running.request);
    }
};

const release = (admission: Admission, running: Running): void => {
    const { request } = running;
    const team = teamOf(admission, request.team);
    admission.running.delete(request.id);
    admission.classes[request.urgency].running -= 1;
    countOwn(admission.classes[request.urgency], running, -1);
    team.running -= 1;
    team.queues[request.urgency].running -= 1;
    team.queues[request.urgency].overdue -= Number(running.isOverdue);
    updateTeamTurns(admission, team);
    forgetIdleTeam(admission, team);
};
