import { setTimeout as sleep } from "node:timers/promises";
import { startTcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import type { ExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import type { Draw } from "./draw.js";
import { findScheduler, type JobDeployment } from "./job-deployment.js";
import { disruptExecutor, type Disruption, type DisruptionKind } from "./disrupt-executor.js";
import type { SoakedDispatcher } from "./soaked-dispatcher.js";

const FAULT_MIN_MS = 1500;
const FAULT_MAX_MS = 8000;

export interface FaultOptions {
    readonly deployment: JobDeployment;
    readonly dispatchers: readonly SoakedDispatcher[];
    readonly draw: Draw;
    /** Draws the outcomes of requests to executors and the times of restarts; undefined for cut paths only. */
    readonly drawDisruption: Draw | undefined;
}

/** Kind of a fault: of the holder of the pool's lease, of the paths to an executor, of an executor, or of the operator. */
export type FaultKind =
    "store" | "pause" | "kill" | "cut-from-holder" | "cut-from-successors" | "queue-removal" | DisruptionKind;

/** Faults that began at the same moment. */
export interface PlayedFault {
    readonly description: string;
    /** Kind of each fault; those of several executors are listed several times. */
    readonly kinds: readonly FaultKind[];
}

type Cut = "neither" | "holder" | "successors";
type HolderFault = "none" | "store" | "pause" | "kill";

/** Plays faults of one kind or several at the same moment, drawn independently. */
export const playFault = async (options: FaultOptions): Promise<PlayedFault> => {
    const { deployment, dispatchers, draw, drawDisruption } = options;
    const holder = dispatchers.find(({ process }) => process === findScheduler(deployment)) ?? dispatchers[0];
    if (holder === undefined) {
        throw new Error("no dispatcher");
    }
    const durationMs = draw(FAULT_MIN_MS, FAULT_MAX_MS);
    const executors = deployment.executors.filter(executor => executor.status().state !== "gone");
    const cuts = executors.map(executor => cutExecutor(executor, holderToken(deployment), draw));
    const holderFault = (["none", "store", "store", "store", "pause", "kill"] as const)[draw(0, 5)] ?? "none";
    const heal = await startHolderFault(deployment, holder, holderFault);
    const disruptions =
        drawDisruption === undefined
            ? []
            : executors.map((executor, index) =>
                  disruptExecutor({ executor, isCut: cuts[index] !== "neither", durationMs, draw: drawDisruption }),
              );
    await sleep(durationMs);
    deployment.executors.forEach(executor => executor.setFault({ kind: "none" }));
    await heal();
    await Promise.all(disruptions.map(({ ended }) => ended));
    const executorFaults = cuts.map((cut, index) => [cut, ...describeDisruption(disruptions[index])].join("+"));
    return {
        description: `${holder.vm} ${holderFault}, executors ${executorFaults.join(" ")}, ${durationMs} ms`,
        kinds: [
            ...(holderFault === "none" ? [] : [holderFault]),
            ...cuts.flatMap(cut => (cut === "neither" ? [] : [`cut-from-${cut}` as const])),
            ...disruptions.flatMap(({ kinds }) => kinds),
        ],
    };
};

const describeDisruption = (disruption: Disruption | undefined): readonly string[] =>
    disruption?.kinds.map(kind => (kind === "unreliable" ? kind : `${kind}@${disruption.delayMs}`)) ?? [];

const holderToken = ({ store }: JobDeployment): number => {
    const lease = store.rows("leases").find(({ key }) => key.startsWith("pool/"))?.value as
        { readonly epoch?: number } | undefined;
    return lease?.epoch ?? 0;
};

/** Cuts an executor off from the holder, from its successors, or from neither. */
const cutExecutor = (executor: ExecutorStandIn, token: number, draw: Draw): Cut => {
    const from = (["neither", "holder", "successors"] as const)[draw(0, 2)] ?? "neither";
    switch (from) {
        case "neither":
            break;
        case "holder":
            executor.setFault({ kind: "cut-off", fromToken: 0, toToken: token });
            break;
        case "successors":
            executor.setFault({ kind: "cut-off", fromToken: token + 1 });
            break;
    }
    return from;
};

/** Starts a fault of a dispatcher and returns how to end it. */
export const startHolderFault = async (
    deployment: JobDeployment,
    holder: SoakedDispatcher,
    fault: HolderFault,
): Promise<() => Promise<void> | void> => {
    switch (fault) {
        case "none":
            return () => undefined;
        case "store": {
            const port = Number(holder.relay.address.split(":")[1]);
            await holder.relay.close();
            return async () => {
                holder.relay = await startTcpRelay({ target: deployment.store.address, port });
            };
        }
        case "pause":
            holder.process.process.kill("SIGSTOP");
            return () => void holder.process.process.kill("SIGCONT");
        case "kill":
            holder.process.process.kill("SIGKILL");
            await holder.process.ended;
            return async () => {
                holder.process = await deployment.startDispatcher(holder.vm, holder.relay.address);
            };
    }
};
