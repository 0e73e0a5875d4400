import { recordPrediction } from "@almondusher/scheduler/learned-times";
import { planSpeedLimits, type SpeedLimitHistory } from "@almondusher/scheduler/plan-speed-limits";
import { placeTasks, type PlacementOptions } from "@almondusher/scheduler/place-tasks";
import { planOrphanStops, planStops, type StopOptions } from "@almondusher/scheduler/plan-stops";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { ExecutorConnections } from "./executor-connections.js";
import type { OrderWindow } from "./order-window.js";
import type { StepTickets } from "./step-tickets.js";

/** Plans and sends orders to executors. */
export interface RunOrders {
    /** Sends the orders of a scheduling pass: stops, then starts, then changed speed limits. */
    readonly send: () => void;
    /** True if for some seconds there were more orders to send than the order window allowed. */
    readonly isBehind: () => boolean;
}

export interface RunOrdersOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    readonly connections: ExecutorConnections;
    readonly orderWindow: OrderWindow;
    readonly tickets: StepTickets;
}

const STOP_RESEND_INTERVAL_MS = 400;
// Longer than a burst fills the window of a scheduler that keeps up.
const BEHIND_AFTER_MS = 3000;

export const createRunOrders = ({
    context,
    tables,
    connections,
    orderWindow,
    tickets,
}: RunOrdersOptions): RunOrders => {
    const speedLimitHistory: SpeedLimitHistory = new Map();
    /** Monotonic time since which each pass has used up its budget, in milliseconds. */
    let exhaustedSinceMs: number | undefined;
    const logFieldsOf = ({ task, number, executor }: Run) => ({ task: task.id, run: number, executor: executor.id });
    const stopRuns = (options: StopOptions): void =>
        planStops(tables, options).forEach(run => {
            context.log("run-stopping", { ...logFieldsOf(run), cause: run.stopCause });
            void connections.get(run.executor.id)?.stop(run);
        });
    const stopOrphanedRuns = (options: StopOptions): void =>
        tables.executors.forEach(executor =>
            planOrphanStops(executor, options).forEach(orphanedRun => {
                const { task, number } = orphanedRun;
                context.log("run-stopping", { task, run: number, executor: executor.id, cause: "stray" });
                void connections.get(executor.id)?.stopOrphanedRun(orphanedRun);
            }),
        );
    const startRuns = (options: Pick<PlacementOptions, "nowMs" | "budget">): void =>
        placeTasks(tables, { ...options, executorsWithTicket: tickets.executorsFor }).forEach(run => {
            const { step } = run.task;
            context.log("run-placed", { ...logFieldsOf(run), queue: step.job.queue });
            recordPrediction(tables, run);
            void connections.get(run.executor.id)?.start(run, tickets.ticketFor(step, run.executor.id));
        });
    const setPace = (nowMs: number): void =>
        planSpeedLimits(tables, speedLimitHistory, nowMs).forEach(({ run, percent }) => {
            context.log("run-pace-changed", { ...logFieldsOf(run), from: run.speedLimitPercent, percent });
            void connections.get(run.executor.id)?.setPace(run, percent);
        });
    return {
        send: () => {
            // Starts get what the stops have left of the budget.
            const budget = orderWindow.createBudget();
            const stopOptions = {
                nowMs: context.monotonicMs(),
                resendAfterMs: STOP_RESEND_INTERVAL_MS,
                budget,
                executorsWithTicket: tickets.executorsFor,
            };
            stopRuns(stopOptions);
            stopOrphanedRuns(stopOptions);
            startRuns({ nowMs: context.monotonicMs(), budget });
            setPace(context.monotonicMs());
            exhaustedSinceMs = budget.isExhausted() ? (exhaustedSinceMs ?? context.monotonicMs()) : undefined;
        },
        isBehind: () => exhaustedSinceMs !== undefined && context.monotonicMs() - exhaustedSinceMs >= BEHIND_AFTER_MS,
    };
};
