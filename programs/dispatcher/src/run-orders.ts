import { planSpeedLimits, type SpeedLimitHistory } from "@almondusher/scheduler/plan-speed-limits";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { planStops } from "@almondusher/scheduler/plan-stops";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "./dispatcher-context.js";
import type { ExecutorConnections } from "./executor-connections.js";
import type { StepTickets } from "./step-tickets.js";

/** Plans and sends the orders of a scheduling pass to executors. */
export interface RunOrders {
    readonly sendStops: () => void;
    readonly sendStarts: () => void;
    readonly sendPace: () => void;
}

export interface RunOrdersOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    readonly connections: ExecutorConnections;
    readonly tickets: StepTickets;
}

const STOP_RESEND_INTERVAL_MS = 400;

export const createRunOrders = ({ context, tables, connections, tickets }: RunOrdersOptions): RunOrders => {
    const speedLimitHistory: SpeedLimitHistory = new Map();
    const logFieldsOf = ({ task, number, executor }: Run) => ({ task: task.id, run: number, executor: executor.id });
    const stopRuns = (nowMs: number): void =>
        planStops(tables, { nowMs, resendAfterMs: STOP_RESEND_INTERVAL_MS }).forEach(run => {
            context.log("run-stopping", { ...logFieldsOf(run), cause: run.stopCause });
            void connections.get(run.executor.id)?.stop(run);
        });
    const stopOrphanedRuns = (nowMs: number): void =>
        tables.executors.forEach(executor =>
            executor.orphanedRuns
                .filter(
                    ({ stopSentAtMs }) => stopSentAtMs === undefined || nowMs - stopSentAtMs >= STOP_RESEND_INTERVAL_MS,
                )
                .forEach(orphanedRun => {
                    orphanedRun.stopSentAtMs = nowMs;
                    const { task, number } = orphanedRun;
                    context.log("run-stopping", { task, run: number, executor: executor.id, cause: "stray" });
                    void connections.get(executor.id)?.stopOrphanedRun(orphanedRun);
                }),
        );
    return {
        sendStops: () => {
            const nowMs = context.monotonicMs();
            stopRuns(nowMs);
            stopOrphanedRuns(nowMs);
        },
        sendStarts: () =>
            placeTasks(tables, { nowMs: context.monotonicMs(), executorsWithTicket: tickets.executorsFor }).forEach(
                run => {
                    const { step } = run.task;
                    context.log("run-placed", { ...logFieldsOf(run), queue: step.job.queue });
                    void connections.get(run.executor.id)?.start(run, tickets.ticketFor(step, run.executor.id));
                },
            ),
        sendPace: () =>
            planSpeedLimits(tables, speedLimitHistory, context.monotonicMs()).forEach(({ run, percent }) => {
                context.log("run-pace-changed", { ...logFieldsOf(run), from: run.speedLimitPercent, percent });
                void connections.get(run.executor.id)?.setPace(run, percent);
            }),
    };
};
