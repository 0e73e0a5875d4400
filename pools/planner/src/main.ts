import { parseArgs } from "node:util";
import { defaultPlannerSettings, type PlannerSettings } from "./planner-settings.js";
import { simulateFleet, simulationStartMs, type SimulationResult, type Variant } from "./simulate-fleet.js";
import { fleetShapes } from "./simulated-fleet.js";

const withoutHysteresis = (settings: PlannerSettings): PlannerSettings => ({
    ...settings,
    moveDurationMs: 0,
    returnAfterMs: 0,
    returnUtilisation: settings.borrowUtilisation,
});

const withoutLoans = (settings: PlannerSettings): PlannerSettings => ({
    ...settings,
    moveDurationMs: Number.MAX_SAFE_INTEGER,
});

const waveVariants: readonly Variant[] = [
    { name: "planner", settings: defaultPlannerSettings },
    { name: "one VM at a time", settings: defaultPlannerSettings, oneVmAtATime: true },
    { name: "no hysteresis", settings: withoutHysteresis(defaultPlannerSettings) },
    { name: "no loans for load", settings: withoutLoans(defaultPlannerSettings) },
    { name: "12 pools at once", settings: { ...defaultPlannerSettings, maxPoolsInMaintenance: 12 } },
    { name: "48 pools at once", settings: { ...defaultPlannerSettings, maxPoolsInMaintenance: 48 } },
];

const dayVariants: readonly Variant[] = [
    { name: "planner", settings: defaultPlannerSettings },
    { name: "no hysteresis", settings: withoutHysteresis(defaultPlannerSettings) },
    { name: "no loans for load", settings: withoutLoans(defaultPlannerSettings) },
    { name: "return after 10 minutes", settings: { ...defaultPlannerSettings, returnAfterMs: 600_000 } },
    { name: "return after 30 minutes", settings: { ...defaultPlannerSettings, returnAfterMs: 1_800_000 } },
];

const format = (value: number): string => (Number.isInteger(value) ? String(value) : value.toFixed(1));

const printRow = (scenario: string, shape: string, variant: string, result: SimulationResult): void => {
    const cells = [
        scenario,
        shape,
        variant,
        result.hours,
        result.maintained,
        result.moves,
        result.loanHours,
        result.maintenanceHours,
        result.worstMargin,
        result.worstPlannedMargin,
        result.overloadMinutes,
        result.millisecondsPerPlan,
    ];
    console.log(`| ${cells.map(cell => (typeof cell === "number" ? format(cell) : cell)).join(" | ")} |`);
};

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        fleet: { type: "string" },
        days: { type: "string", default: "3" },
    },
});
const seed = Number(values.seed);
const shapes = fleetShapes.filter(shape => values.fleet === undefined || shape.name === values.fleet);

console.log(
    "| scenario | fleet | variant | hours | maintained | moves | VM hours on loan | VM hours of maintenance | worst margin | worst planned margin | pool minutes overloaded | ms per plan |",
);
console.log(`|${" --- |".repeat(12)}`);
shapes.forEach(shape => {
    waveVariants.forEach(variant => {
        const wave = { ...variant, settings: { ...variant.settings, waveRequestedAtMs: simulationStartMs } };
        const result = simulateFleet({ shape, variant: wave, seed, days: Number(values.days), untilMaintained: true });
        printRow("full wave", shape.name, variant.name, result);
    });
    dayVariants.forEach(variant => {
        const result = simulateFleet({ shape, variant, seed, days: 1, untilMaintained: false });
        printRow("ordinary day", shape.name, variant.name, result);
    });
});
