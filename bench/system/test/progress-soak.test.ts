import test from "node:test";
import { assertSoak } from "./assert-soak.js";

const SEEDS = [5];
const FAULTS = 3;

// Jobs with several steps, gangs and long-running tasks, while answers are lost, orders are carried out late and executors
// restart, drain and are maintained. Nothing else than a wait shows a task that a scheduler keeps as started without a run.
SEEDS.forEach(seed => {
    test(`no task runs twice, waits for 3 s with room or is lost during faults of executors, seed ${seed}`, context =>
        assertSoak(context, { seed, faults: FAULTS, workload: "mixed" }));
});
