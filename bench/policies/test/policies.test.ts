import assert from "node:assert/strict";
import { test } from "node:test";
import { createRendezvous } from "@almondusher/slots/rendezvous";
import { recordArrivals, withoutFloods } from "../src/arrivals.js";
import { plotRatios } from "../src/plot.js";
import { formatReport } from "../src/report.js";
import { compareVariants } from "../src/scenario.js";
import { summarize } from "../src/summary.js";
import { comparisons } from "../src/variants.js";
import { defaultQueues } from "../src/workload.js";

const SEED = 5;
const [comparison] = comparisons;
assert.ok(comparison !== undefined);
const installation = { ...comparison.installation, pools: 1, repetitions: 1 };
const chosen = comparison.variants.filter(variant => variant.name.endsWith("(chosen)"));

test("the same seed gives the same figures, and the chosen policies meet their targets without endpoint refusals", async () => {
    const rendezvous = await createRendezvous();
    const run = () =>
        compareVariants(installation, { variants: chosen, profile: "steady", seed: SEED, rendezvous }).map(summarize);
    const [first] = run();
    assert.deepEqual(run(), [first]);
    assert.ok(first !== undefined);
    assert.equal(first.refusals, 0);
    assert.ok(first.withinTarget >= 0.99, `${first.withinTarget} within target, seed ${SEED}`);
    assert.ok(first.worstRatio <= 1.5, `p99 ratio ${first.worstRatio}, seed ${SEED}`);
    const table = { installation: "one pool", profile: "steady" as const, topic: "slots", rows: [first] };
    assert.match(formatReport([table], { command: "test", seed: SEED, date: "2026-12-04" }), /\(chosen\) \| /);
    assert.match(plotRatios([table]), /^<svg [\s\S]*<\/svg>\n$/);
});

test("removing the flood from a recording leaves the same arrivals as recording without it", () => {
    const options = { seed: SEED, queues: defaultQueues, durationMs: 5_000, slots: 56, baseFactor: 1, floodFactor: 5 };
    const floods = [{ queue: "normal-short", fromMs: 1_000, toMs: 3_000 }];
    const flooded = recordArrivals({ ...options, floods, minFloodLoad: 1.5 });
    const quiet = recordArrivals({ ...options, floods: [], minFloodLoad: 1.5 });
    assert.ok(flooded.count > quiet.count);
    assert.deepEqual(withoutFloods(flooded), quiet);
});
