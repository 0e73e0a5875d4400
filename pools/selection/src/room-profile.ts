/** Part of a job that holds room over a time, relative to the job's start. */
export interface Stage {
    readonly offsetMs: number;
    readonly durationMs: number;
    /** Room that it holds, in VMs. */
    readonly width: number;
}

/** Room of a pool that is planned to be in use, over time. */
export interface RoomProfile {
    /** Takes room from now on. Room that is in use already is taken also if the pool then has too little. */
    readonly take: (stages: readonly Stage[]) => void;
    /** Takes room as late as possible, at most up to a share of the pool's, the job's start being at most that late; false if there is none. */
    readonly takeLatest: (stages: readonly Stage[], latestStartInMs: number, share: number) => boolean;
    /** Takes room as early as possible, the job's start being at most that late; false if there is none. */
    readonly takeEarliest: (stages: readonly Stage[], latestStartInMs: number) => boolean;
}

export interface RoomProfileOptions {
    /** Room of the pool, in VMs. */
    readonly room: number;
    /** Time that the profile covers, in milliseconds. What is planned beyond it needs no room. */
    readonly horizonMs: number;
}

// Finer than the times that matter to callers, and coarse enough for a search among thousands of jobs.
const MIN_SLOT_MS = 40;
const MAX_SLOTS = 400;
// Sums of widths are not exact.
const ROUNDING = 1e-6;

/** Creates the profile of a pool in which nothing is planned. */
export const createRoomProfile = ({ room, horizonMs }: RoomProfileOptions): RoomProfile => {
    const slotMs = Math.max(MIN_SLOT_MS, horizonMs / MAX_SLOTS);
    const used = new Float64Array(Math.ceil(horizonMs / slotMs) + 1);
    const firstSlotOf = ({ offsetMs }: Stage): number => Math.floor(offsetMs / slotMs);
    const endSlotOf = ({ offsetMs, durationMs }: Stage): number =>
        Math.max(Math.floor(offsetMs / slotMs) + 1, Math.round((offsetMs + durationMs) / slotMs));
    const takeAt = (stages: readonly Stage[], start: number): void =>
        stages.forEach(stage => {
            const end = Math.min(used.length, start + endSlotOf(stage));
            for (let slot = start + firstSlotOf(stage); slot < end; slot++) {
                used[slot] = (used[slot] ?? 0) + stage.width;
            }
        });
    const findFullSlot = (stage: Stage, start: number, isLast: boolean, share: number): number | undefined => {
        const from = start + firstSlotOf(stage);
        const end = Math.min(used.length, start + endSlotOf(stage));
        let found: number | undefined;
        for (let slot = from; slot < end && (isLast || found === undefined); slot++) {
            // A stage that needs the whole room fits where nothing else is planned.
            if ((used[slot] ?? 0) > Math.max(0, room * share - stage.width) + ROUNDING) {
                found = slot;
            }
        }
        return found;
    };
    const takeIfFound = (stages: readonly Stage[], start: number | undefined): boolean => {
        if (start !== undefined) {
            takeAt(stages, start);
        }
        return start !== undefined;
    };
    /** Moves the start until no stage needs a slot that is full; undefined if it leaves the bounds before. */
    const findStart = (
        stages: readonly Stage[],
        first: number,
        isInBounds: (start: number) => boolean,
        isLater: boolean,
        share: number,
    ): number | undefined => {
        let start = first;
        while (isInBounds(start)) {
            const moved = stages.reduce((current, stage) => {
                const full = findFullSlot(stage, current, isLater, share);
                if (full === undefined) {
                    return current;
                }
                return isLater ? full + 1 - firstSlotOf(stage) : full - endSlotOf(stage);
            }, start);
            if (moved === start) {
                return start;
            }
            start = moved;
        }
        return undefined;
    };
    const lastStartOf = (latestStartInMs: number): number =>
        Math.min(used.length, Math.floor(latestStartInMs / slotMs));
    return {
        take: stages => takeAt(stages, 0),
        takeLatest: (stages, latestStartInMs, share) =>
            takeIfFound(
                stages,
                findStart(stages, lastStartOf(latestStartInMs), start => start >= 0, false, share),
            ),
        takeEarliest: (stages, latestStartInMs) => {
            const last = lastStartOf(latestStartInMs);
            return takeIfFound(
                stages,
                findStart(stages, 0, start => start <= last, true, 1),
            );
        },
    };
};
