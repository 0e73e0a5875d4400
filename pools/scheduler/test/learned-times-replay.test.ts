import assert from "node:assert/strict";
import test from "node:test";
import { learnFromActive, learnFromEnd } from "@almondusher/scheduler/learned-times";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { allRuns, forgetRun } from "@almondusher/scheduler/run-table";
import { addJob, createPool, place, record, step } from "./fixture.js";

/** One kind of jobs: of its image, with a true run time and the one that clients declare. */
interface Load {
    readonly image: string;
    readonly runMs: number;
    readonly declaredMs: number;
    /** Time between two jobs of a turn. */
    readonly everyMs: number;
}

const TICK_MS = 20;
const DURATION_MS = 40_000;
// Work arrives in the first half of each period, faster than the pool can do it.
const TURN_PERIOD_MS = 4000;
// What the fixture's queue allows.
const STRETCH = 2;
const GRACE_MS = 500;

/** Plays jobs of one task on 12 cores, and returns the share of them that ended in time by their true run time. */
const shareInTime = (loads: readonly Load[], isLearning: boolean): number => {
    const tables = createPool({ executors: [record("a"), record("b"), record("c")] });
    const loadOf = new Map(loads.map(load => [load.image, load]));
    const outcomes: boolean[] = [];
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
        loads
            .filter(({ everyMs }) => nowMs % everyMs === 0 && nowMs % TURN_PERIOD_MS < TURN_PERIOD_MS / 2)
            .forEach(({ image, declaredMs }) =>
                addJob(tables, {
                    id: `${image}-${nowMs}`,
                    steps: [step({ image, estimateMs: declaredMs })],
                    arrivedAtMs: nowMs,
                }),
            );
        outcomes.push(...endRuns(tables, loadOf, nowMs, isLearning));
        if (isLearning) {
            learnFromActive(tables, nowMs);
        }
        place(tables, nowMs);
    }
    // Jobs that still wait or run count as late, unless they may still be in time.
    const open = [...tables.jobs.values()].filter(({ job, arrivedAtMs }) => {
        const runMs = loadOf.get(job.steps[0]?.image ?? "")?.runMs ?? 0;
        return arrivedAtMs + STRETCH * runMs + GRACE_MS < DURATION_MS;
    });
    return outcomes.filter(Boolean).length / (outcomes.length + open.length);
};

const endRuns = (
    tables: PoolTables,
    loadOf: ReadonlyMap<string, Load>,
    nowMs: number,
    isLearning: boolean,
): readonly boolean[] =>
    allRuns(tables).flatMap(run => {
        const { job, step: ended } = run.task.step;
        const runMs = loadOf.get(ended.image ?? "")?.runMs ?? 0;
        run.phase = "running";
        if (nowMs - run.startedAtMs < runMs) {
            return [];
        }
        if (isLearning) {
            learnFromEnd(tables, run, "done", nowMs);
        }
        forgetRun(run);
        tables.jobs.delete(job.id);
        return [nowMs - job.arrivedAtMs <= STRETCH * runMs + GRACE_MS];
    });

const loadsOf = (declare: (runMs: number) => number): readonly Load[] =>
    [
        { image: "short", runMs: 200, everyMs: 40 },
        { image: "middle", runMs: 800, everyMs: 100 },
        { image: "long", runMs: 2400, everyMs: 300 },
    ].map(load => ({ ...load, declaredMs: declare(load.runMs) }));

const compare = (loads: readonly Load[]) => ({
    learned: shareInTime(loads, true),
    declared: shareInTime(loads, false),
});

test("on a full pool more jobs are in time with learned run times if all declare the same or nothing", t => {
    [0, 600].forEach(declaredMs => {
        const { learned, declared } = compare(loadsOf(() => declaredMs));
        t.diagnostic(
            `declared ${declaredMs} ms: in time ${learned.toFixed(3)} learned, ${declared.toFixed(3)} declared`,
        );
        assert.ok(learned > declared + 0.1, `${learned}, ${declared}`);
    });
});

test("more are in time if short work declares twice its time and long work half of it", t => {
    const { learned, declared } = compare(loadsOf(runMs => (runMs < 500 ? 2 * runMs : runMs / 2)));
    t.diagnostic(`in time ${learned.toFixed(3)} learned, ${declared.toFixed(3)} declared`);
    assert.ok(learned >= declared, `${learned}, ${declared}`);
});

test("as many are in time if all declare accurate times", t => {
    const { learned, declared } = compare(loadsOf(runMs => runMs));
    t.diagnostic(`in time ${learned.toFixed(3)} learned, ${declared.toFixed(3)} declared`);
    assert.ok(learned >= declared - 0.01, `${learned}, ${declared}`);
});
