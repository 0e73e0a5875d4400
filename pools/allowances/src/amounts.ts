import type { Resources } from "@almondusher/jobs/job";

export const NOTHING: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };

const combine = (left: Resources, right: Resources, of: (left: number, right: number) => number): Resources => ({
    cpu: of(left.cpu, right.cpu),
    memoryMb: of(left.memoryMb, right.memoryMb),
    gpu: of(left.gpu, right.gpu),
});

/** The sum of all amounts. */
export const sumOf = (amounts: readonly Resources[]): Resources =>
    amounts.reduce((sum, amount) => combine(sum, amount, (left, right) => left + right), NOTHING);

/** What is left of an amount after another one; negative where the other one is larger. */
export const minus = (from: Resources, amount: Resources): Resources =>
    combine(from, amount, (left, right) => left - right);

/** The larger amount of each resource. */
export const largerOf = (left: Resources, right: Resources): Resources => combine(left, right, Math.max);

/** The smaller amount of each resource. */
export const smallerOf = (left: Resources, right: Resources): Resources => combine(left, right, Math.min);

/** A part of an amount, in whole units. */
export const partOf = ({ cpu, memoryMb, gpu }: Resources, share: number): Resources => ({
    cpu: Math.floor(cpu * share),
    memoryMb: Math.floor(memoryMb * share),
    gpu: Math.floor(gpu * share),
});

/** True if an amount is at most another one in each resource. */
export const isWithin = (amount: Resources, limit: Resources): boolean =>
    amount.cpu <= limit.cpu && amount.memoryMb <= limit.memoryMb && amount.gpu <= limit.gpu;

/** True if two amounts are the same. */
export const isSame = (left: Resources, right: Resources): boolean => isWithin(left, right) && isWithin(right, left);

/** The resources of which a cap limits the use, 0 for each other one: a cap of 0 is none. */
export const limitedBy = (cap: Resources, amount: Resources): Resources =>
    combine(cap, amount, (limit, value) => (limit > 0 ? value : 0));

/** True if a cap limits any resource. */
export const isLimit = ({ cpu, memoryMb, gpu }: Resources): boolean => cpu > 0 || memoryMb > 0 || gpu > 0;

/** The largest share of a cap that an amount takes. */
export const shareOf = (amount: Resources, cap: Resources): number =>
    Math.max(
        cap.cpu > 0 ? amount.cpu / cap.cpu : 0,
        cap.memoryMb > 0 ? amount.memoryMb / cap.memoryMb : 0,
        cap.gpu > 0 ? amount.gpu / cap.gpu : 0,
    );

/** The amount with 0 for each resource that is negative. */
export const withoutNegative = (amount: Resources): Resources => largerOf(amount, NOTHING);
