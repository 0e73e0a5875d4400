import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import { findScheduler } from "./job-deployment.js";
import { startHolderFault, type FaultOptions, type PlayedFault } from "./play-fault.js";

const DOWN_MAX_MS = 600;
const MAX_RESTARTS = 3;
const UNTIL_NEXT_MAX_MS = 900;
const UNTIL_CUT_MAX_MS = 2600;
const CUT_MIN_MS = 2000;
const CUT_MAX_MS = 9000;

/**
 * Restarts executors under their ids one to three times in a row and then cuts them off. The holder of the pool's lease may
 * be killed between the two.
 */
export const playRestarts = async (options: FaultOptions): Promise<PlayedFault> => {
    const { deployment, dispatchers, draw } = options;
    const chosen = deployment.executors.filter((executor, index) => index === 0 || draw(0, 1) === 1);
    const clock = (["starts-anew", "goes-on"] as const)[draw(0, 1)] ?? "starts-anew";
    const restarts = draw(1, MAX_RESTARTS);
    for (let restart = 0; restart < restarts; restart++) {
        await restartAll(chosen, clock, draw(0, DOWN_MAX_MS));
        await sleep(draw(0, UNTIL_NEXT_MAX_MS));
    }
    const holder = dispatchers.find(({ process }) => process === findScheduler(deployment));
    const isKilled = holder !== undefined && draw(0, 2) === 0;
    const heal = isKilled ? await startHolderFault(deployment, holder, "kill") : () => undefined;
    const untilCutMs = draw(0, UNTIL_CUT_MAX_MS);
    await sleep(untilCutMs);
    const cutMs = draw(CUT_MIN_MS, CUT_MAX_MS);
    await silence(chosen, cutMs);
    await heal();
    return {
        description: [
            `${chosen.map(({ id }) => id).join(" ")} restarted ${restarts} times, clock ${clock}`,
            ...(isKilled ? [`${holder.vm} killed`] : []),
            `cut off after ${untilCutMs} ms for ${cutMs} ms`,
        ].join(", "),
        kinds: ["restart", ...(isKilled ? (["kill"] as const) : [])],
    };
};

const restartAll = async (
    executors: readonly ExecutorStandIn[],
    clock: Parameters<ExecutorStandIn["restart"]>[0],
    downMs: number,
): Promise<void> => {
    await silence(executors, downMs);
    executors.forEach(executor => executor.restart(clock));
};

const silence = async (executors: readonly ExecutorStandIn[], durationMs: number): Promise<void> => {
    executors.forEach(executor => executor.setFault({ kind: "silent" }));
    await sleep(durationMs);
    executors.forEach(executor => executor.setFault({ kind: "none" }));
};
