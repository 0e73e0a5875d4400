import { setTimeout as sleep } from "node:timers/promises";
import { findScheduler } from "./job-deployment.js";
import { startHolderFault, type FaultOptions, type PlayedFault } from "./play-fault.js";

// Jobs are accepted meanwhile.
const UNTIL_REMOVAL_MIN_MS = 2000;
const UNTIL_REMOVAL_MAX_MS = 4000;
const UNTIL_TAKEOVER_MAX_MS = 2500;
const MAX_TAKEOVERS = 3;
const BETWEEN_TAKEOVERS_MAX_MS = 3500;
const REMOVED_MAX_MS = 4000;

/**
 * Removes the deployment's queue and adds it again. Meanwhile the holders of the pool's lease are killed or paused one after
 * the other, and come back once the queue is there again, or before.
 */
export const playRemovals = async (options: FaultOptions): Promise<PlayedFault> => {
    const { deployment, dispatchers, draw } = options;
    const configured = deployment.store.rows("op").find(({ key }) => key === "config")?.value as ConfigurationRow;
    const write = (version: number, change: object): void =>
        deployment.store.put("op", "config", { ...configured, ...change, version });
    await sleep(draw(UNTIL_REMOVAL_MIN_MS, UNTIL_REMOVAL_MAX_MS));
    write(configured.version + 1, { routes: [] });
    await sleep(draw(0, UNTIL_TAKEOVER_MAX_MS));
    const kinds: ("kill" | "pause")[] = [];
    const heals: (() => Promise<void> | void)[] = [];
    for (let takeover = draw(1, MAX_TAKEOVERS); takeover > 0; takeover--) {
        const holder = dispatchers.find(({ process }) => process === findScheduler(deployment));
        const kind = draw(0, 1) === 0 ? "kill" : "pause";
        if (holder !== undefined) {
            kinds.push(kind);
            heals.push(await startHolderFault(deployment, holder, kind));
        }
        await sleep(draw(0, BETWEEN_TAKEOVERS_MAX_MS));
        // One process at least stays, and those that come back have not seen the queue.
        if (heals.length === dispatchers.length - 1 || draw(0, 1) === 0) {
            await heals.shift()?.();
        }
    }
    const removedMs = draw(0, REMOVED_MAX_MS);
    await sleep(removedMs);
    write(configured.version + 2, {});
    await Promise.all(heals.map(async heal => heal()));
    return {
        description: ["queue removed", ...kinds, `added again ${removedMs} ms later`].join(", "),
        kinds: ["queue-removal", ...kinds],
    };
};

interface ConfigurationRow {
    readonly version: number;
}
