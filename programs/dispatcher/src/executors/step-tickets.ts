import type { Queue } from "@almondusher/jobs/configuration";
import type { ExecutorId, QueueName, StepId } from "@almondusher/jobs/ids";
import type { AdviceTiming } from "@almondusher/jobs/queue-terms";
import { MAX_ADVISED_EXECUTORS, type AdviceClient } from "@almondusher/platform-adapter/advice-client";
import { isJobEnded, isReady } from "@almondusher/scheduler/job-progress";
import { termsOf } from "@almondusher/scheduler/job-terms";
import { hasRoomFor } from "@almondusher/scheduler/executor-usability";
import { isWaiting, stepsOf, type Executor, type OpenStep, type PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";

/** Tickets from the advice service, which decides for some queues on which executors a step may run. */
export interface StepTickets {
    /** Returns the executors that may run the step now; undefined if the step needs no ticket. */
    readonly executorsFor: (step: OpenStep) => ReadonlySet<ExecutorId> | undefined;
    readonly ticketFor: (step: OpenStep, executor: ExecutorId) => string | undefined;
    /**
     * Discards the tickets of a step after an executor has rejected a start for want of a valid one. If the step was started
     * without a ticket, its queue gets starts only with one from then on.
     */
    readonly discard: (step: OpenStep) => void;
    /**
     * Asks about one step and those executors on which it needs an answer, first the ones with room for a task. Must be
     * called regularly.
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

/** Answer of the advice service for one step and one life of an executor. */
interface ExecutorAnswer {
    /** The entry of the table; an executor that leaves and joins again under its id gets a new one. */
    readonly executor: Executor;
    /** When the life of the executor began, as far as it is known, in milliseconds of the monotonic clock. */
    readonly incarnationSinceMs: number;
    /** Undefined if the executor may not run the step. */
    readonly ticket: string | undefined;
    readonly validUntilMs: number;
}

/** What the advice service has answered for a step; bounded by the executors of the pool. */
interface StepAnswers {
    readonly byExecutor: Map<ExecutorId, ExecutorAnswer>;
    /** When the service was last asked, in milliseconds of the monotonic clock. */
    askedAtMs: number;
    /** Executors with valid tickets, and until when the set holds; undefined if it has to be determined. */
    valid: ValidExecutors | undefined;
}

interface ValidExecutors {
    readonly executors: ReadonlySet<ExecutorId>;
    readonly untilMs: number;
}

interface AdviceCall {
    readonly step: OpenStep;
    readonly executors: readonly Executor[];
}

// Part of a ticket's validity that is reserved for sending the start.
const START_MARGIN_MS = 300;
const TIMEOUT_SLACK_MS = 1000;
const RETRY_DELAY_MS = 200;
// Looking for an executor without an answer costs time in each pass while all of them have one.
const SEARCH_INTERVAL_MS = 100;
/** Timing of the advice for queues of which only the rejections of starts have shown that they are advised. */
const ASSUMED_TIMING: AdviceTiming = { decideMs: 1000, perExecutorMs: 10, validMs: 0 };

export const createStepTickets = ({ context, client, tables, changed }: StepTicketsOptions): StepTickets => {
    const answersByStep = new Map<StepId, StepAnswers>();
    let requestInFlight = false;
    let retryAtMs = 0;
    let searchAtMs = Number.NEGATIVE_INFINITY;

    /** Queues whose starts were rejected for want of a ticket, with the configuration of the queue at that time. */
    const queuesWithRejections = new Map<QueueName, Queue | undefined>();

    // Another configuration of the queue may be one without advice.
    const isAdvisedByRejection = ({ job: { queue } }: OpenStep): boolean =>
        queuesWithRejections.has(queue) && queuesWithRejections.get(queue) === tables.queues.get(queue);
    const timingOf = (step: OpenStep): AdviceTiming | undefined => {
        const terms = termsOf(tables, step.job);
        const timing = terms.kind === "known" ? terms.terms.advice : undefined;
        return timing ?? (isAdvisedByRejection(step) ? ASSUMED_TIMING : undefined);
    };
    const isAnyQueueAdvised = (): boolean =>
        queuesWithRejections.size > 0 ||
        [...tables.queues.values(), ...tables.acceptedTerms.values()].some(({ advice }) => advice !== undefined);
    const learnFromRejection = (step: OpenStep): void => {
        const { queue } = step.job;
        if (timingOf(step) === undefined) {
            queuesWithRejections.set(queue, tables.queues.get(queue));
            context.metrics.count("queues_advised_by_rejection");
            context.log("tickets-required", { queue, step: step.id, configured: tables.queues.has(queue) });
        }
    };
    const answersFor = (step: OpenStep): StepAnswers => {
        const known = answersByStep.get(step.id);
        if (known !== undefined) {
            return known;
        }
        const answers: StepAnswers = { byExecutor: new Map(), askedAtMs: Number.NEGATIVE_INFINITY, valid: undefined };
        answersByStep.set(step.id, answers);
        return answers;
    };
    const validExecutors = (step: OpenStep): ReadonlySet<ExecutorId> => {
        const answers = answersByStep.get(step.id);
        if (answers === undefined) {
            return NO_EXECUTORS;
        }
        if (answers.valid === undefined || answers.valid.untilMs <= context.monotonicMs()) {
            answers.valid = findValid(answers, context.monotonicMs());
        }
        return answers.valid.executors;
    };
    const requestTickets = async (
        { step, executors }: AdviceCall,
        timing: AdviceTiming,
        service: AdviceClient,
    ): Promise<void> => {
        const asked = executors.map(executor => ({ executor, incarnationSinceMs: executor.incarnationSinceMs }));
        const sentAtMs = context.monotonicMs();
        const timeoutMs = timing.decideMs + timing.perExecutorMs * executors.length + TIMEOUT_SLACK_MS;
        answersFor(step).askedAtMs = sentAtMs;
        const advice = await service.advise(
            step.id,
            executors.map(({ id }) => id),
            timeoutMs,
        );
        context.metrics.count(`advice_${advice.kind}`);
        if (advice.kind === "failed") {
            context.log("advice-failed", { step: step.id, reason: advice.reason });
            retryAtMs = context.monotonicMs() + RETRY_DELAY_MS;
            return;
        }
        const tickets = new Map(advice.tickets.map(({ executor, ticket }) => [executor, ticket]));
        const answers = answersFor(step);
        const validUntilMs = sentAtMs + advice.validMs - START_MARGIN_MS;
        asked.forEach(({ executor, incarnationSinceMs }) =>
            answers.byExecutor.set(executor.id, {
                executor,
                incarnationSinceMs,
                ticket: tickets.get(executor.id),
                validUntilMs,
            }),
        );
        answers.valid = undefined;
        changed();
    };
    // A step has the same executors for as long as it exists, so only tickets are asked for again.
    const needsAnswer = (step: OpenStep, executor: Executor): boolean => {
        const answer = answersByStep.get(step.id)?.byExecutor.get(executor.id);
        return (
            answer === undefined ||
            answer.executor !== executor ||
            answer.incarnationSinceMs !== executor.incarnationSinceMs ||
            (answer.ticket !== undefined && answer.validUntilMs <= context.monotonicMs())
        );
    };
    const advisedSteps = (): readonly OpenStep[] =>
        [...tables.jobs.values()]
            .filter(job => !isJobEnded(job))
            .flatMap(stepsOf)
            .filter(step => step.remaining > 0 && timingOf(step) !== undefined);
    // Steps that are ready to start take precedence over those that depend on other steps, executors with room over others,
    // and then the step that has waited longest for an answer.
    const nextCall = (steps: readonly OpenStep[]): AdviceCall | undefined => {
        const executors = [...tables.executors.values()].filter(
            ({ registered, record }) => registered && !record.draining,
        );
        const waiting = steps
            .filter(step => step.tasks.some(isWaiting))
            .map(step => ({ step, askedAtMs: answersByStep.get(step.id)?.askedAtMs ?? Number.NEGATIVE_INFINITY }))
            .sort((left, right) => compareTimes(left.askedAtMs, right.askedAtMs))
            .map(({ step }) => step);
        const isNew = !waiting.every(({ id }) => answersByStep.has(id));
        if (executors.length === 0 || (!isNew && context.monotonicMs() < searchAtMs)) {
            return undefined;
        }
        const ready = waiting.filter(isReady);
        const dependent = waiting.filter(step => !isReady(step));
        const nowMs = context.monotonicMs();
        const withRoom = (step: OpenStep, executor: Executor): boolean => hasRoomFor(tables, executor, step, nowMs);
        const call =
            findCall(ready, executors, withRoom) ??
            findCall(ready, executors, () => true) ??
            findCall(dependent, executors, () => true);
        searchAtMs = call === undefined ? nowMs + SEARCH_INTERVAL_MS : Number.NEGATIVE_INFINITY;
        return call;
    };
    const findCall = (
        steps: readonly OpenStep[],
        executors: readonly Executor[],
        isConsidered: (step: OpenStep, executor: Executor) => boolean,
    ): AdviceCall | undefined => {
        for (const step of steps) {
            const toAsk = executors.filter(executor => needsAnswer(step, executor) && isConsidered(step, executor));
            if (toAsk.length > 0) {
                return { step, executors: toAsk.slice(0, MAX_ADVISED_EXECUTORS) };
            }
        }
        return undefined;
    };
    // Answers are kept only for open steps and present executors.
    const dropOutdated = (steps: readonly OpenStep[]): void => {
        const open = new Set(steps.map(({ id }) => id));
        answersByStep.forEach(({ byExecutor }, step) => {
            if (!open.has(step)) {
                answersByStep.delete(step);
                return;
            }
            [...byExecutor.keys()].filter(id => !tables.executors.has(id)).forEach(id => byExecutor.delete(id));
        });
    };
    return {
        executorsFor: step => (timingOf(step) === undefined ? undefined : validExecutors(step)),
        ticketFor: (step, executor) =>
            validExecutors(step).has(executor)
                ? answersByStep.get(step.id)?.byExecutor.get(executor)?.ticket
                : undefined,
        discard: step => {
            learnFromRejection(step);
            const answers = answersByStep.get(step.id);
            if (answers !== undefined) {
                [...answers.byExecutor]
                    .filter(([, { ticket }]) => ticket !== undefined)
                    .forEach(([executor]) => answers.byExecutor.delete(executor));
                answers.valid = undefined;
                searchAtMs = Number.NEGATIVE_INFINITY;
            }
        },
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
            const steps = advisedSteps();
            dropOutdated(steps);
            const call = nextCall(steps);
            const timing = call === undefined ? undefined : timingOf(call.step);
            if (call === undefined || timing === undefined) {
                return;
            }
            requestInFlight = true;
            void requestTickets(call, timing, client).finally(() => {
                requestInFlight = false;
            });
        },
    };
};

const NO_EXECUTORS: ReadonlySet<ExecutorId> = new Set();

const findValid = ({ byExecutor }: StepAnswers, nowMs: number): ValidExecutors => {
    const valid = [...byExecutor].filter(
        ([, { ticket, validUntilMs }]) => ticket !== undefined && validUntilMs > nowMs,
    );
    return {
        executors: new Set(valid.map(([executor]) => executor)),
        untilMs: Math.min(...valid.map(([, { validUntilMs }]) => validUntilMs)),
    };
};

const compareTimes = (left: number, right: number): number => (left === right ? 0 : left - right);
