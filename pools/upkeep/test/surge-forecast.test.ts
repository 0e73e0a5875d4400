import assert from "node:assert/strict";
import test from "node:test";
import type { PoolName } from "@almondusher/fleet/ids";
import { createSurgeForecast, forecastNeeds, type SurgeForecast } from "@almondusher/upkeep/surge-forecast";
import { poolName } from "./fixture.js";

const POOLS = ["p", "q", "r"].map(poolName);
const SIZES = new Map(POOLS.map(pool => [pool, 8] as const));
const TURN_MS = 9000;

/** Sizes that the pools should have while only the given pool surges. */
const targets = (forecast: SurgeForecast, surging: PoolName | undefined, nowMs: number): Record<string, number> =>
    Object.fromEntries(
        forecastNeeds(
            forecast,
            POOLS.map(pool => ({
                pool,
                neededVms: pool === surging ? 12 : 2,
                wantedVms: pool === surging ? 12 : 2,
                removable: [],
                losing: [],
            })),
            SIZES,
            nowMs,
        ).map(({ pool, wantedVms, floorVms }) => [pool, Math.max(wantedVms, floorVms)]),
    );

test("a pool keeps its size until its first surge is over", () => {
    const forecast = createSurgeForecast();
    assert.deepEqual(targets(forecast, undefined, 0), { p: 8, q: 8, r: 8 });
    assert.deepEqual(targets(forecast, POOLS[0], 1000), { p: 12, q: 8, r: 8 });
    assert.deepEqual(targets(forecast, undefined, 6000), { p: 2, q: 8, r: 8 });
});

test("where pools surge in turn, the next pool gets its VMs before its surge", () => {
    const forecast = createSurgeForecast();
    const surgeAt = (turn: number): void => {
        targets(forecast, POOLS[turn % POOLS.length], turn * TURN_MS);
        targets(forecast, undefined, turn * TURN_MS + 6000);
    };
    [0, 1, 2].forEach(surgeAt);
    assert.equal(targets(forecast, undefined, 3 * TURN_MS - 5000)["p"], 2);
    assert.equal(targets(forecast, undefined, 3 * TURN_MS - 2000)["p"], 12);
    assert.equal(
        targets(forecast, undefined, 3 * TURN_MS + 3000)["p"],
        2,
        "a surge that did not come is no longer expected",
    );
});
