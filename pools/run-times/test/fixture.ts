import { toId } from "@almondusher/fleet/ids";
import type { QueueName, TenantName } from "@almondusher/jobs/ids";
import { kindOf, type RunKind } from "@almondusher/run-times/run-kind";
import { learnFinishedRun, type RunSubject, type RunTimeModel } from "@almondusher/run-times/run-time-model";

/** What a kind of tasks differs in. */
export interface KindFixture {
    readonly queue?: string;
    readonly image?: string;
    readonly tenant?: string;
    readonly declaredMs?: number;
}

export const kind = ({ queue = "queue", image, tenant, declaredMs = 1000 }: KindFixture = {}): RunKind =>
    kindOf(
        { queue: toId<QueueName>(queue), tenant: tenant === undefined ? undefined : toId<TenantName>(tenant) },
        { estimateMs: declaredMs, demand: { cpu: 1000, memoryMb: 100, gpu: 0 }, image },
    );

/** A task of a step of its own. */
export const subject = (fixture: KindFixture = {}): RunSubject => ({ kind: kind(fixture), step: {} });

/** Numbers from 0 to 1 that are the same in each run. */
export const createRandom = (seed: number): (() => number) => {
    let state = seed;
    return () => {
        state = (state * 48_271) % 2_147_483_647;
        return state / 2_147_483_647;
    };
};

/** A factor around 1 whose logarithm has about the given standard deviation. */
export const scatter = (random: () => number, deviation: number): number =>
    Math.exp(deviation * (random() + random() + random() + random() - 2) * Math.sqrt(3));

/** Learns runs of steps with one task each. */
export const learnRuns = (
    model: RunTimeModel,
    runs: number,
    next: () => { readonly kind?: KindFixture; readonly observedMs: number },
): void =>
    Array.from({ length: runs }, next).forEach(run => learnFinishedRun(model, subject(run.kind), run.observedMs));
