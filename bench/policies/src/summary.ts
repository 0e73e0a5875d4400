import { type VariantResult, worstQueue } from "./scenario.js";
import { p99Ms, type Score } from "./score.js";

/** Figures of one variant in the report. */
export interface Summary {
    readonly variant: string;
    /** Share (0 to 1) of the requests of queues that do not flood that got a response within target, with floods. */
    readonly withinTarget: number;
    /** As `withinTarget`, without floods. */
    readonly withinTargetQuiet: number;
    /** p99 latency with floods divided by that without, for `worstQueue`. */
    readonly worstRatio: number;
    readonly worstQueue: string;
    /** Share of the requests of other teams in flooding queues that got a response within target. */
    readonly otherTeamsWithinTarget: number;
    /** Share of the requests of flooding queues that got a response. */
    readonly floodAnswered: number;
    /** Share of the available slot time that was used during the floods. */
    readonly slotsUsed: number;
    /** Share of the urgent requests of queues that do not flood that started within the target time. */
    readonly urgentInTime: number;
    readonly urgentP99Ms: number;
    readonly urgentMaxMs: number;
    readonly rejectedOthers: string;
    readonly rejectedFlood: string;
    /** Number of refusals. */
    readonly refusals: number;
    /** Rates for one pool, averaged over the time in which requests arrive. */
    readonly messagesPerSecond: number;
    readonly movedPerSecond: number;
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Computes the figures of the report from the results of a variant. */
export const summarize = (result: VariantResult): Summary => {
    const { variant, flooded, quiet } = result;
    const worst = worstQueue(result);
    return {
        variant: variant.name,
        withinTarget: flooded.othersWithinTarget / flooded.others,
        withinTargetQuiet: quiet.othersWithinTarget / quiet.others,
        worstRatio: worst.ratio,
        worstQueue: worst.name,
        otherTeamsWithinTarget: flooded.otherTeamsWithinTarget / flooded.otherTeams,
        floodAnswered: flooded.floodingAnswered / flooded.flooding,
        slotsUsed: flooded.usedSlotMs / flooded.availableSlotMs,
        urgentInTime: flooded.urgentInTime / flooded.urgent,
        urgentP99Ms: p99Ms(flooded.urgentWait),
        urgentMaxMs: flooded.urgentWait.maxValue / MICROSECONDS_PER_MS,
        rejectedOthers: describeCauses(flooded.othersRejected),
        rejectedFlood: describeCauses(flooded.floodingRejected),
        refusals: flooded.refusals,
        messagesPerSecond: perSecond(flooded, flooded.messages),
        movedPerSecond: perSecond(flooded, flooded.movedSlots),
    };
};

const perSecond = (score: Score, count: number): number => (count * MS_PER_SECOND) / score.simulatedMs;

const describeCauses = (counts: ReadonlyMap<string, number>): string =>
    counts.size === 0 ? "none" : [...counts].map(([cause, count]) => `${cause} ${count}`).join(", ");
