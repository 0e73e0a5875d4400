import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutorStandIn, RequestOutcome } from "@almondusher/job-platform-stand-in/executor";
import type { Draw } from "./draw.js";

export interface DisruptionOptions {
    readonly executor: ExecutorStandIn;
    /** The executor is cut off from some dispatchers, so that its answers are not lost in addition. */
    readonly isCut: boolean;
    /** Time in which the executor restarts or begins to drain. */
    readonly durationMs: number;
    readonly draw: Draw;
}

/** Kind of a disruption of one executor. */
export type DisruptionKind = "unreliable" | "restart" | "drain";

/** Disruptions of one executor. */
export interface Disruption {
    /** Drawn kinds. A restart or drain does not take place if the executor has left by then. */
    readonly kinds: readonly DisruptionKind[];
    /** When the restart or drain begins, in milliseconds since the start of the fault. */
    readonly delayMs: number;
    readonly ended: Promise<void>;
}

const LATE_MIN_MS = 2000;
const LATE_MAX_MS = 12_000;
const LATE_PERCENT = 25;
const LOST_PERCENT = 15;
const DRAIN_MS = 2000;
const PAUSE_MAX_MS = 1000;

/** Loses answers, delays orders, and restarts or drains an executor, each drawn independently. */
export const disruptExecutor = ({ executor, isCut, durationMs, draw }: DisruptionOptions): Disruption => {
    const isUnreliable = !isCut && draw(0, 2) > 0;
    if (isUnreliable) {
        executor.setFault({ kind: "unreliable", drawOutcome: request => drawOutcome(request, draw) });
    }
    const event = (["none", "none", "restart", "restart", "drain"] as const)[draw(0, 4)] ?? "none";
    const delayMs = draw(0, durationMs);
    const pauseMs = draw(0, PAUSE_MAX_MS);
    return {
        kinds: [...(isUnreliable ? (["unreliable"] as const) : []), ...(event === "none" ? [] : [event])],
        delayMs,
        ended: playEvent(executor, event, delayMs, pauseMs),
    };
};

const drawOutcome = (request: "order" | "hold", draw: Draw): RequestOutcome => {
    const percent = draw(1, 100);
    if (request === "order" && percent <= LATE_PERCENT) {
        return { kind: "late", delayMs: draw(LATE_MIN_MS, LATE_MAX_MS) };
    }
    return { kind: percent > 100 - LOST_PERCENT ? "lost-answer" : "answered" };
};

const playEvent = async (
    executor: ExecutorStandIn,
    event: "none" | "restart" | "drain",
    delayMs: number,
    pauseMs: number,
): Promise<void> => {
    if (event === "none") {
        return;
    }
    await sleep(delayMs);
    // The VM may have been moved or maintained in the meantime.
    if (executor.status().state !== "ready") {
        return;
    }
    switch (event) {
        case "restart":
            executor.restart();
            break;
        case "drain":
            await executor.drain(DRAIN_MS, pauseMs);
            break;
    }
};
