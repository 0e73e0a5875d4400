import type { Resources } from "@almondusher/jobs/job";
import { isSame, isWithin, largerOf, minus, NOTHING, partOf, shareOf, smallerOf, sumOf } from "./amounts.js";

/** What one pool asks of a cap. */
export interface Claim {
    readonly wanted: Resources;
    /** What its next task, or gang, needs at once. */
    readonly unit: Resources;
    /** Revision in which its grant was last changed. */
    readonly changedAt: number;
}

// A claim gets its amount in parts of at least this share of it, which bounds the steps.
const SMALLEST_PART = 1 / 16;

/**
 * Shares out a cap by max-min fairness, in whole units as far as they fit: a part of the cap that is smaller than the next
 * task would serve nobody. Of equal claims the one whose grant was changed longest ago comes first, so that pools whose
 * tasks take most of the cap take turns. What nobody wants is divided evenly, so that work that arrives can start at once.
 */
export const shareOutCap = (cap: Resources, claims: readonly Claim[]): readonly Resources[] => {
    const limit = largerOf(NOTHING, cap);
    const targets = claims.map(() => NOTHING);
    const targetOf = (index: number): Resources => targets[index] ?? NOTHING;
    const isOpen = claims.map(() => true);
    const next = (): number | undefined =>
        claims
            .map((claim, index) => ({ claim, index, share: shareOf(targetOf(index), limit) }))
            .filter(({ claim, index }) => isOpen[index] === true && !isWithin(claim.wanted, targetOf(index)))
            .sort((left, right) => left.share - right.share || left.claim.changedAt - right.claim.changedAt)[0]?.index;
    const left = (): Resources => largerOf(NOTHING, minus(limit, sumOf(targets)));
    // The parts become smaller towards the end, so that the last one makes no claim much larger than the others.
    const evenPart = (wanted: Resources): Resources =>
        smallerOf(partOf(wanted, SMALLEST_PART), partOf(left(), 1 / (2 * claims.length)));
    for (let index = next(); index !== undefined; index = next()) {
        const { wanted, unit } = claims[index] as Claim;
        const missing = largerOf(NOTHING, minus(wanted, targetOf(index)));
        const whole = smallerOf(missing, unit);
        const large = smallerOf(missing, wholeUnits(unit, largerOf(evenPart(wanted), ONE)));
        const part = [large, whole].find(amount => !isSame(amount, NOTHING) && isWithin(amount, left()));
        isOpen[index] = part !== undefined;
        targets[index] = sumOf([targetOf(index), part ?? NOTHING]);
    }
    claims.forEach(({ wanted }, index) => {
        const missing = largerOf(NOTHING, minus(wanted, targetOf(index)));
        targets[index] = sumOf([targetOf(index), smallerOf(missing, left())]);
    });
    const headroom = partOf(left(), 1 / Math.max(1, claims.length));
    return targets.map(target => sumOf([target, headroom]));
};

/** The unit as often as it fits into an amount, at least once; the amount itself if nothing is needed at once. */
const wholeUnits = (unit: Resources, amount: Resources): Resources => {
    const largest = shareOf(unit, amount);
    return largest === 0 ? amount : partOf(unit, Math.max(1, Math.floor(1 / largest)));
};

const ONE: Resources = { cpu: 1, memoryMb: 1, gpu: 1 };
