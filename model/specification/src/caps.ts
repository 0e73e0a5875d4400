import type { Protocol } from "./protocol.js";

/** Rules of the division of a tenant's cap; without any one of them the explorer must find a broken invariant. */
export const capGuards = [
    "acknowledge-before-freeing",
    "reserve-what-is-held",
    "no-older-division",
    "go-on-from-acknowledged",
    "start-once-runs-are-known",
    "repeat-report-until-runs-are-known",
    "take-over-reserved",
] as const;
export type CapGuard = (typeof capGuards)[number];

export interface CapOptions {
    readonly maxFaults: number;
    /** Most changes of grants. */
    readonly maxChanges: number;
    readonly disabledGuard?: CapGuard;
    /** Faults that may occur; all if undefined. */
    readonly faults?: readonly CapFault[];
}

type CapFault = "take-over" | "take-fleet-over";

type PoolIndex = 0 | 1;
type Pair<Value> = readonly [Value, Value];

/** A division of the cap, as the holder of the fleet lease computes and stores it. */
interface Division {
    readonly revision: number;
    readonly granted: Pair<number>;
    readonly reserved: Pair<number>;
    /** Revision in which each grant was last changed. */
    readonly changedAt: Pair<number>;
}

/** What the row of a pool's lease says. */
interface Report {
    readonly acknowledged: number;
    readonly held: number;
}

/** A former holder of a pool's lease that does not know that it has lost it. */
interface FormerHolder {
    readonly granted: number;
    readonly ownRuns: number;
}

/** A pool, the holder of its lease and its row. */
interface Pool {
    /** Revision that the holder goes by, and its grant. */
    readonly revision: number;
    readonly granted: number;
    /** Runs that the holder knows. */
    readonly ownRuns: number;
    /** All runs of the tenant on the pool. */
    readonly running: number;
    /** What the former holder said; absent once the runs that it started are known, and it can start none. */
    readonly inherited?: Report;
    readonly former?: FormerHolder;
    readonly row: Report;
    /** The row as the holder of the fleet lease last read it. */
    readonly seen: Report;
}

/** State of the protocol. */
export interface CapState {
    /** Division of the holder of the fleet lease, which may not be stored yet. */
    readonly division: Division;
    /** Stored divisions; a pool may read an older one late. */
    readonly stored: readonly Division[];
    readonly pools: Pair<Pool>;
    readonly changes: number;
    readonly faults: number;
}

/** A step of a holder or of the environment. */
export type CapStep =
    | { readonly type: "store" | "take-fleet-over" }
    | {
          readonly type:
              "raise" | "lower" | "read-report" | "report" | "start" | "start-late" | "end" | "learn" | "take-over";
          readonly pool: PoolIndex;
      }
    | { readonly type: "read-division"; readonly pool: PoolIndex; readonly index: number };

const CAP = 2;
const POOLS: Pair<PoolIndex> = [0, 1];
const FIRST_REPORT: Report = { acknowledged: 0, held: 1 };
const FIRST_DIVISION: Division = { revision: 0, granted: [1, 1], reserved: [1, 1], changedAt: [0, 0] };
const FIRST_POOL: Pool = {
    revision: 0,
    granted: 1,
    ownRuns: 0,
    running: 0,
    row: FIRST_REPORT,
    seen: FIRST_REPORT,
};

const initialCapState: CapState = {
    division: FIRST_DIVISION,
    stored: [FIRST_DIVISION],
    pools: [FIRST_POOL, FIRST_POOL],
    changes: 0,
    faults: 0,
};

const replace = <Value>([first, second]: Pair<Value>, index: PoolIndex, value: Value): Pair<Value> =>
    index === 0 ? [value, second] : [first, value];

const withPool = (state: CapState, index: PoolIndex, change: Partial<Pool>): CapState => ({
    ...state,
    pools: replace(state.pools, index, { ...state.pools[index], ...change }),
});

/** Division of a tenant's cap between two pools, whose holders and that of the fleet lease know only each other's rows. */
export const capProtocol = (options: CapOptions): Protocol<CapState, CapStep> => {
    const isEnabled = (guard: CapGuard): boolean => options.disabledGuard !== guard;

    const mayFail = ({ faults }: CapState, fault: CapFault): boolean =>
        faults < options.maxFaults && (options.faults?.includes(fault) ?? true);
    const isAcknowledged = ({ division, pools }: CapState, pool: PoolIndex): boolean =>
        pools[pool].seen.acknowledged >= division.changedAt[pool];
    const reservedOf = (state: CapState, pool: PoolIndex): number => {
        const { granted, reserved } = state.division;
        const held = isEnabled("reserve-what-is-held") ? state.pools[pool].seen.held : 0;
        const isFreed = isAcknowledged(state, pool) || !isEnabled("acknowledge-before-freeing");
        return Math.max(granted[pool], held, isFreed ? 0 : reserved[pool]);
    };
    const isChangeable = (state: CapState, pool: PoolIndex): boolean =>
        state.changes < options.maxChanges && (isAcknowledged(state, pool) || !isEnabled("acknowledge-before-freeing"));
    const changeGrant = (state: CapState, pool: PoolIndex, by: 1 | -1): CapState => {
        const { division } = state;
        const revision = division.revision + 1;
        const granted = replace(division.granted, pool, division.granted[pool] + by);
        const reserved = POOLS.map(index =>
            Math.max(reservedOf(state, index), granted[index]),
        ) as unknown as Pair<number>;
        return {
            ...state,
            division: { revision, granted, reserved, changedAt: replace(division.changedAt, pool, revision) },
            changes: state.changes + 1,
        };
    };
    const mayRaise = (state: CapState, pool: PoolIndex): boolean => {
        const { reserved } = changeGrant(state, pool, 1).division;
        return isChangeable(state, pool) && reserved[0] + reserved[1] <= CAP;
    };
    const reportOf = ({ inherited, revision, granted, ownRuns }: Pool): Report =>
        inherited !== undefined && isEnabled("repeat-report-until-runs-are-known")
            ? inherited
            : { acknowledged: revision, held: Math.max(granted, ownRuns) };
    const mayStart = ({ inherited, granted, ownRuns }: Pool): boolean =>
        ownRuns < granted && (inherited === undefined || !isEnabled("start-once-runs-are-known"));
    const isOlder = (division: Division, { revision }: Pool): boolean =>
        isEnabled("no-older-division") && division.revision < revision;

    const poolSteps = (state: CapState, pool: PoolIndex): readonly CapStep[] => {
        const current = state.pools[pool];
        const { former, inherited, running, row, seen } = current;
        const report = reportOf(current);
        const isSame = (left: Report, right: Report): boolean =>
            left.acknowledged === right.acknowledged && left.held === right.held;
        const reads = state.stored.flatMap((division, index): readonly CapStep[] =>
            isOlder(division, current) ||
            (division.revision === current.revision && division.granted[pool] === current.granted)
                ? []
                : [{ type: "read-division", pool, index }],
        );
        const steps: readonly (readonly [boolean, CapStep])[] = [
            [mayRaise(state, pool), { type: "raise", pool }],
            [isChangeable(state, pool) && state.division.granted[pool] > 0, { type: "lower", pool }],
            [!isSame(row, seen), { type: "read-report", pool }],
            [!isSame(row, report), { type: "report", pool }],
            [mayStart(current), { type: "start", pool }],
            [former !== undefined && former.ownRuns < former.granted, { type: "start-late", pool }],
            [inherited === undefined && running > 0, { type: "end", pool }],
            [inherited !== undefined, { type: "learn", pool }],
            [mayFail(state, "take-over") && inherited === undefined, { type: "take-over", pool }],
        ];
        return [...steps.filter(([isPossible]) => isPossible).map(([, step]) => step), ...reads];
    };

    const takeOver = (state: CapState, pool: PoolIndex): CapState => {
        const { row, granted, running } = state.pools[pool];
        return {
            ...withPool(state, pool, {
                revision: isEnabled("go-on-from-acknowledged") ? row.acknowledged : 0,
                granted: 0,
                ownRuns: 0,
                inherited: row,
                former: { granted, ownRuns: running },
            }),
            faults: state.faults + 1,
        };
    };
    const takeFleetOver = (state: CapState): CapState => {
        const last = state.stored.at(-1) ?? FIRST_DIVISION;
        return {
            ...state,
            division: isEnabled("take-over-reserved") ? last : { ...last, reserved: last.granted },
            // The successor may have read older rows than its predecessor.
            pools: state.pools.map(pool => ({ ...pool, seen: FIRST_REPORT })) as unknown as Pair<Pool>,
            faults: state.faults + 1,
        };
    };
    const readReport = (state: CapState, pool: PoolIndex): CapState => {
        const read = withPool(state, pool, { seen: state.pools[pool].row });
        const reserved = replace(read.division.reserved, pool, reservedOf(read, pool));
        return { ...read, division: { ...read.division, reserved } };
    };
    const store = (state: CapState): CapState => {
        const kept = state.stored.filter(({ revision }) => revision !== state.division.revision);
        return { ...state, stored: [...kept, state.division] };
    };

    return {
        name: "caps",
        initial: initialCapState,
        steps: state => [
            ...(JSON.stringify(state.stored.at(-1)) === JSON.stringify(state.division)
                ? []
                : [{ type: "store" } as const]),
            ...(mayFail(state, "take-fleet-over") ? [{ type: "take-fleet-over" } as const] : []),
            ...POOLS.flatMap(pool => poolSteps(state, pool)),
        ],
        apply: (state, step) => {
            switch (step.type) {
                case "store":
                    return store(state);
                case "take-fleet-over":
                    return takeFleetOver(state);
                case "raise":
                    return changeGrant(state, step.pool, 1);
                case "lower":
                    return changeGrant(state, step.pool, -1);
                case "read-report":
                    return readReport(state, step.pool);
                case "read-division": {
                    const division = state.stored[step.index] ?? FIRST_DIVISION;
                    return withPool(state, step.pool, {
                        revision: division.revision,
                        granted: division.granted[step.pool],
                    });
                }
                case "report":
                    return withPool(state, step.pool, { row: reportOf(state.pools[step.pool]) });
                case "start": {
                    const { ownRuns, running } = state.pools[step.pool];
                    return withPool(state, step.pool, { ownRuns: ownRuns + 1, running: running + 1 });
                }
                case "start-late": {
                    const { former, running } = state.pools[step.pool];
                    return former === undefined
                        ? state
                        : withPool(state, step.pool, {
                              former: { ...former, ownRuns: former.ownRuns + 1 },
                              running: running + 1,
                          });
                }
                case "end": {
                    const { running } = state.pools[step.pool];
                    return withPool(state, step.pool, { ownRuns: running - 1, running: running - 1 });
                }
                case "learn": {
                    const { revision, granted, running, row, seen } = state.pools[step.pool];
                    return {
                        ...state,
                        pools: replace(state.pools, step.pool, {
                            revision,
                            granted,
                            ownRuns: running,
                            running,
                            row,
                            seen,
                        }),
                    };
                }
                case "take-over":
                    return takeOver(state, step.pool);
            }
        },
        violations: ({ pools: [first, second] }) =>
            first.running + second.running > CAP ? ["the tenant runs more than its cap"] : [],
        isProgress: ({ type }) => type !== "take-over" && type !== "take-fleet-over" && type !== "start",
        // No run, and all that was stored is read and acknowledged.
        isSettled: ({ division, stored, pools }) =>
            JSON.stringify(stored.at(-1)) === JSON.stringify(division) &&
            pools.every(
                ({ running, inherited, revision, row, seen }) =>
                    running === 0 &&
                    inherited === undefined &&
                    revision === division.revision &&
                    row.acknowledged === revision &&
                    seen.acknowledged === revision,
            ),
    };
};
