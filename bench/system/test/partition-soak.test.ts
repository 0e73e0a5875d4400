import test from "node:test";
import { assertSoak } from "./assert-soak.js";

// Seeds that failed while holders started tasks again whose runs a successor had adopted.
const SEEDS = [8, 19];
const FAULTS = 3;

SEEDS.forEach(seed => {
    // Paths between each dispatcher, the store and each executor are cut at the same moment, so that a former holder and its
    // successor reach different executors.
    test(`no task runs twice and no job is lost while paths are cut and processes paused and killed, seed ${seed}`, context =>
        assertSoak(context, { seed, faults: FAULTS, workload: "plain" }));
});
