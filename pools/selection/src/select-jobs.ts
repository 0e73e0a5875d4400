import { createRoomProfile, type RoomProfile, type Stage } from "./room-profile.js";

/** What has been done for a job: a task has begun, or an earlier selection had it among those in time, or neither. */
export type Commitment = "begun" | "selected" | "none";

/** A job with tasks that wait for room, with what it still needs. */
export interface Candidate<Id> {
    readonly id: Id;
    readonly commitment: Commitment;
    /** Its remaining stages. */
    readonly stages: readonly Stage[];
    /** Time until the latest start for the job to be in time, in milliseconds; negative if it can't be. */
    readonly latestStartInMs: number;
    /** Time before its latest start at which the job is to start, in milliseconds, since its run time is an estimate. */
    readonly marginMs: number;
    /** A lower one takes precedence. */
    readonly priority: number;
    /** Jobs of different kinds are not compared by size. */
    readonly kind: string;
    readonly sizeClass: string;
    /** Jobs of its kind and size are served clearly less often than those of its kind. */
    readonly isNeglected: boolean;
    /** What the whole job is worth for its work. */
    readonly density: number;
}

/** Room that runs hold until their expected end. */
export interface RoomInUse {
    readonly untilMs: number;
    /** In VMs. */
    readonly width: number;
}

export interface SelectionOptions<Id> {
    /** Room of the pool, in VMs, without what tasks hold that don't end by themselves. */
    readonly room: number;
    readonly inUse: readonly RoomInUse[];
    readonly candidates: readonly Candidate<Id>[];
}

/**
 * What is to become of the candidates; `all-in-time` if the pool has room for all that can be. Deferred jobs are late and may
 * be started after the selected ones. The others are late as well, and would take room that selected ones will need.
 */
export type Selection<Id> =
    | { readonly kind: "all-in-time" }
    | { readonly kind: "overload"; readonly selected: ReadonlySet<Id>; readonly deferred: ReadonlySet<Id> };

// Estimates change from one selection to the next, so a selected job gives way only to one that is clearly better. In
// shares of the jobs of its size.
const SELECTED_ADVANTAGE = 0.25;

// What is planned and not begun yet is kept unless much of its margin is used up.
const MARGIN_PARTS: Readonly<Record<Commitment, number>> = { begun: 0, selected: 0.5, none: 1 };

// Some room is lost between the end of a task and the next start, so not all of it is planned for jobs that are not begun.
const PLANNED_SHARES: Readonly<Record<Commitment, number>> = { begun: 1, selected: 0.95, none: 0.9 };

/**
 * Selects the jobs that can be in time together: the best ones first, each as late as it may start, so that the room before
 * is left to those that are more urgent. For jobs of the same shape this is a largest set that can be in time.
 */
export const selectJobs = <Id>(options: SelectionOptions<Id>): Selection<Id> => {
    const timely = options.candidates.filter(({ latestStartInMs }) => latestStartInMs >= 0);
    const profile = createProfile(options);
    const selected = rankCandidates(timely).filter(({ commitment, stages, latestStartInMs, marginMs }) =>
        profile.takeLatest(
            stages,
            // A job that has waited for longer than its margin allows is still in time if it starts now.
            Math.max(0, latestStartInMs - MARGIN_PARTS[commitment] * marginMs),
            PLANNED_SHARES[commitment],
        ),
    );
    if (selected.length === timely.length) {
        return { kind: "all-in-time" };
    }
    const selectedIds = new Set(selected.map(({ id }) => id));
    const others = options.candidates.filter(({ id }) => !selectedIds.has(id)).sort(compareStarts);
    const deferred = findStartable(options, selected, others).map(({ id }) => id);
    return { kind: "overload", selected: selectedIds, deferred: new Set(deferred) };
};

/** The late jobs for which there is room until the end of what they start now, besides the selected ones. */
const findStartable = <Id>(
    options: SelectionOptions<Id>,
    selected: readonly Candidate<Id>[],
    others: readonly Candidate<Id>[],
): readonly Candidate<Id>[] => {
    const profile = createProfile(options);
    selected
        .toSorted(compareStarts)
        .forEach(({ stages, latestStartInMs }) => profile.takeEarliest(stages, latestStartInMs));
    return others.filter(({ stages }) =>
        profile.takeEarliest(
            stages.filter(({ offsetMs }) => offsetMs === 0),
            0,
        ),
    );
};

const createProfile = <Id>({ room, inUse, candidates }: SelectionOptions<Id>): RoomProfile => {
    const profile = createRoomProfile({
        room,
        horizonMs: candidates.reduce((latest, candidate) => Math.max(latest, endInMs(candidate)), 0),
    });
    profile.take(inUse.map(({ untilMs, width }) => ({ offsetMs: 0, durationMs: untilMs, width })));
    return profile;
};

const endInMs = <Id>({ latestStartInMs, stages }: Candidate<Id>): number =>
    Math.max(0, latestStartInMs) +
    stages.reduce((end, { offsetMs, durationMs }) => Math.max(end, offsetMs + durationMs), 0);

const compareStarts = <Id>(left: Candidate<Id>, right: Candidate<Id>): number =>
    left.priority - right.priority ||
    Number(right.commitment === "begun") - Number(left.commitment === "begun") ||
    left.latestStartInMs - right.latestStartInMs;

/** By priority, begun jobs first, then by the rank within the jobs of the same kind and size, so that the sizes take turns. */
const rankCandidates = <Id>(candidates: readonly Candidate<Id>[]): readonly Candidate<Id>[] => {
    const groups = new Map<string, Candidate<Id>[]>();
    candidates.forEach(candidate => {
        const name = `${candidate.priority} ${candidate.sizeClass} ${candidate.kind}`;
        const group = groups.get(name) ?? [];
        groups.set(name, group);
        group.push(candidate);
    });
    return [...groups.values()]
        .flatMap(group =>
            group
                .sort((left, right) => right.density - left.density)
                .map((candidate, index) => ({ candidate, rank: rankOf(candidate, index / group.length) })),
        )
        .sort((left, right) => left.candidate.priority - right.candidate.priority || left.rank - right.rank)
        .map(({ candidate }) => candidate);
};

const rankOf = <Id>({ commitment, isNeglected }: Candidate<Id>, share: number): number => {
    switch (commitment) {
        case "begun":
            return -2;
        case "selected":
            return share - SELECTED_ADVANTAGE - Number(isNeglected);
        case "none":
            return share - Number(isNeglected);
    }
};
