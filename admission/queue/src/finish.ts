import type { RequestId } from "@almondusher/fleet/ids";
import { type Admission, removeIdleTeam, type RunningRequest, teamOf } from "./admission-state.js";
import { chargeClass, countOwnRunning, dequeue, enqueue, updateTeamRings } from "./queue-operations.js";
import { recordRunTime } from "./run-times.js";

/**
 * Releases the slot of a request that ended at `now` (milliseconds) and records its run time; unknown ids are ignored.
 */
export const finish = (admission: Admission, id: RequestId, now: number): void => {
    const running = admission.running.get(id);
    if (running === undefined) {
        return;
    }
    const actualMs = Math.max(0, now - running.startedAt);
    chargeClass(admission, running, actualMs - running.chargedMs);
    recordRunTime(admission.classes[running.request.urgency].runTimes, actualMs, running.chargedMs);
    release(admission, running);
};

/** Removes a running or queued request whose caller has disconnected; its run time is not recorded. */
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
    removeIdleTeam(admission, teamOf(admission, waiting.request.team));
    return "queued";
};

/** Requeues a request that an endpoint refused: releases its slot and keeps its deadline. */
export const requeue = (admission: Admission, id: RequestId): void => {
    const running = admission.running.get(id);
    if (running !== undefined) {
        chargeClass(admission, running, -running.chargedMs);
        release(admission, running);
        enqueue(admission, running.request);
    }
};

const release = (admission: Admission, running: RunningRequest): void => {
    const { request } = running;
    const team = teamOf(admission, request.team);
    admission.running.delete(request.id);
    admission.classes[request.urgency].running -= 1;
    countOwnRunning(admission.classes[request.urgency], running, -1);
    team.running -= 1;
    team.queues[request.urgency].running -= 1;
    team.queues[request.urgency].overdue -= Number(running.isOverdue);
    updateTeamRings(admission, team);
    removeIdleTeam(admission, team);
};
