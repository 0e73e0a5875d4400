import type { AdviceTiming } from "@almondusher/jobs/configuration";
import type { ExecutorId, StepId } from "@almondusher/jobs/ids";
import { MAX_ADVISED_EXECUTORS, type AdviceClient } from "@almondusher/platform-adapter/advice-client";
import { isJobEnded, isReady } from "@almondusher/scheduler/job-progress";
import { isWaiting, stepsOf, type OpenStep, type PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "./dispatcher-context.js";

/** Tickets from the advice service, which decides for some queues on which executors a step may run. */
export interface StepTickets {
    /** Returns the executors that may run the step now; undefined if the step needs no ticket. */
    readonly executorsFor: (step: OpenStep) => ReadonlySet<ExecutorId> | undefined;
    readonly ticketFor: (step: OpenStep, executor: ExecutorId) => string | undefined;
    /** Discards the tickets of a step after an executor has rejected one. */
    readonly discard: (step: OpenStep) => void;
    /**
     * Requests tickets for one step that has no valid ones, preferably a step that can start now. Must be called
     * regularly.
     */
    readonly prefetch: () => void;
}

export interface StepTicketsOptions {
    readonly context: DispatcherContext;
    /** Undefined if no advice service is configured. */
    readonly client: AdviceClient | undefined;
    readonly tables: PoolTables;
    /** Called after new tickets were received. */
    readonly changed: () => void;
}

interface ValidTickets {
    readonly validUntilMs: number;
    readonly tickets: ReadonlyMap<ExecutorId, string>;
}

// Part of a ticket's validity that is reserved for sending the start.
const START_MARGIN_MS = 300;
const TIMEOUT_SLACK_MS = 1000;
const RETRY_DELAY_MS = 200;

export const createStepTickets = ({ context, client, tables, changed }: StepTicketsOptions): StepTickets => {
    const ticketsByStep = new Map<StepId, ValidTickets>();
    let requestInFlight = false;
    let retryAtMs = 0;

    const timingOf = (step: OpenStep): AdviceTiming | undefined => tables.queues.get(step.job.queue)?.advice;
    const isAnyQueueAdvised = (): boolean => [...tables.queues.values()].some(({ advice }) => advice !== undefined);
    const valid = (step: OpenStep): ValidTickets | undefined => {
        const tickets = ticketsByStep.get(step.id);
        return tickets !== undefined && tickets.validUntilMs > context.monotonicMs() ? tickets : undefined;
    };
    const requestTickets = async (step: OpenStep, timing: AdviceTiming, service: AdviceClient): Promise<void> => {
        const executors = [...tables.executors.values()]
            .filter(({ registered, record }) => registered && !record.draining)
            .map(({ id }) => id)
            .slice(0, MAX_ADVISED_EXECUTORS);
        const sentAtMs = context.monotonicMs();
        const timeoutMs = timing.decideMs + timing.perExecutorMs * executors.length + TIMEOUT_SLACK_MS;
        const advice = await service.advise(step.id, executors, timeoutMs);
        context.metrics.count(`advice_${advice.kind}`);
        if (advice.kind === "failed") {
            context.log("advice-failed", { step: step.id, reason: advice.reason });
            retryAtMs = context.monotonicMs() + RETRY_DELAY_MS;
            return;
        }
        ticketsByStep.set(step.id, {
            validUntilMs: sentAtMs + advice.validMs - START_MARGIN_MS,
            tickets: new Map(advice.tickets.map(({ executor, ticket }) => [executor, ticket])),
        });
        changed();
    };
    // Steps that are ready to start take precedence over those that depend on other steps.
    const nextStepWithoutTickets = (): OpenStep | undefined => {
        const waiting = [...tables.jobs.values()]
            .filter(job => !isJobEnded(job))
            .flatMap(stepsOf)
            .filter(step => timingOf(step) !== undefined && valid(step) === undefined)
            .filter(step => step.tasks.some(isWaiting));
        return waiting.find(isReady) ?? waiting[0];
    };
    const dropExpired = (): void => {
        const nowMs = context.monotonicMs();
        [...ticketsByStep]
            .filter(([, { validUntilMs }]) => validUntilMs <= nowMs)
            .forEach(([step]) => ticketsByStep.delete(step));
    };
    return {
        executorsFor: step => (timingOf(step) === undefined ? undefined : new Set(valid(step)?.tickets.keys() ?? [])),
        ticketFor: (step, executor) => valid(step)?.tickets.get(executor),
        discard: step => ticketsByStep.delete(step.id),
        prefetch: () => {
            if (
                client === undefined ||
                requestInFlight ||
                context.monotonicMs() < retryAtMs ||
                tables.executors.size === 0 ||
                !isAnyQueueAdvised()
            ) {
                return;
            }
            dropExpired();
            const step = nextStepWithoutTickets();
            const timing = step === undefined ? undefined : timingOf(step);
            if (step === undefined || timing === undefined) {
                return;
            }
            requestInFlight = true;
            void requestTickets(step, timing, client).finally(() => {
                requestInFlight = false;
            });
        },
    };
};
