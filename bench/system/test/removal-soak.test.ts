import test from "node:test";
import { assertSoak } from "./assert-soak.js";

// A successor that had not seen the queue failed its jobs after one attempt, and started tasks without tickets.
const SEED = 3;
const FAULTS = 2;

test(`no job of a removed queue fails or stalls while its schedulers are killed and paused, seed ${SEED}`, context =>
    assertSoak(context, { seed: SEED, faults: FAULTS, workload: "removals" }));
