import test from "node:test";
import { assertSoak } from "./assert-soak.js";

// Tasks started again after an acknowledged end while requests for a former incarnation reached the next one.
const SEED = 2;
const FAULTS = 2;

test(`no task runs twice while executors restart under their ids and are cut off, seed ${SEED}`, context =>
    assertSoak(context, { seed: SEED, faults: FAULTS, workload: "restarts" }));
