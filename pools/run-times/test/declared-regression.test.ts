import assert from "node:assert/strict";
import test from "node:test";
import { estimateRunTime, learnRunTime, type RunTimeTable } from "@almondusher/run-times/declared-regression";
import { toId } from "@almondusher/fleet/ids";
import type { QueueName } from "@almondusher/jobs/ids";

const QUEUE = toId<QueueName>("queue");

const learn = (pairs: readonly (readonly [number, number])[]): RunTimeTable => {
    const table: RunTimeTable = new Map();
    pairs.forEach(([declared, observed]) => learnRunTime(table, QUEUE, declared, observed));
    return table;
};

test("the declared time is used until a run time was observed", () => {
    assert.equal(estimateRunTime(new Map(), QUEUE, 300), 300);
    assert.equal(estimateRunTime(new Map(), QUEUE, 0), 1000);
});

test("declared times without correlation are replaced by the mean of the observed times", () => {
    const pairs = Array.from({ length: 60 }, (unused, index) => [index % 2 === 0 ? 100 : 6400, 800] as const);
    const table = learn(pairs);
    assert.ok(Math.abs(estimateRunTime(table, QUEUE, 100) - 800) < 120);
    assert.ok(Math.abs(estimateRunTime(table, QUEUE, 6400) - 800) < 120);
});

test("declared times that are off by a constant factor keep their proportions", () => {
    const pairs = Array.from(
        { length: 60 },
        (unused, index) => [200 * 2 ** (index % 4), 100 * 2 ** (index % 4)] as const,
    );
    const expected = estimateRunTime(learn(pairs), QUEUE, 1600);
    assert.ok(expected > 650 && expected < 850, `${expected}`);
});
