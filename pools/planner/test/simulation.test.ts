import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultPlannerSettings, type PlannerSettings } from "../src/planner-settings.js";
import { simulateFleet, simulationStartMs, type Variant } from "../src/simulate-fleet.js";
import { type FleetShape, fleetShapes } from "../src/simulated-fleet.js";

const SEEDS = [1, 2, 3];
const users = fleetShapes.filter(shape => shape.name !== "target");

const waveOf = (shape: FleetShape, seed: number, parts: Partial<Variant> = {}) => {
    const settings = { ...defaultPlannerSettings, waveRequestedAtMs: simulationStartMs };
    const variant = { name: "test", settings, ...parts };
    return simulateFleet({ shape, variant, seed, days: 1, untilMaintained: true });
};

const dayOf = (shape: FleetShape, seed: number, settings: Partial<PlannerSettings> = {}) => {
    const variant = { name: "test", settings: { ...defaultPlannerSettings, ...settings } };
    return simulateFleet({ shape, variant, seed, days: 1, untilMaintained: false });
};

users.forEach(shape => {
    SEEDS.forEach(seed => {
        test(`a wave over all of ${shape.name} never violates minAvailable by itself, seed ${seed}`, context => {
            const wave = waveOf(shape, seed);
            context.diagnostic(`${wave.hours.toFixed(1)} hours, worst margin ${wave.worstMargin}`);
            assert.equal(
                wave.maintained,
                [...shape.services, ...shape.spares].reduce((sum, size) => sum + size),
            );
            assert.ok(wave.worstPlannedMargin >= 0);
        });

        test(`a wave over all of ${shape.name} takes less than half as long as one VM at a time, seed ${seed}`, () => {
            assert.ok(waveOf(shape, seed).hours < waveOf(shape, seed, { oneVmAtATime: true }).hours / 2);
        });

        test(`hysteresis avoids at least two thirds of the moves in the ${shape.name} fleet, seed ${seed}`, () => {
            const { borrowUtilisation } = defaultPlannerSettings;
            const eager = { moveDurationMs: 0, returnAfterMs: 0, returnUtilisation: borrowUtilisation };
            assert.ok(dayOf(shape, seed).moves * 3 <= dayOf(shape, seed, eager).moves);
        });
    });
});
