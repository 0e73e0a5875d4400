import assert from "node:assert/strict";
import test from "node:test";
import { playTurn, type Outcome, type Turn } from "./overload-replay.js";

// Five times the mean, on a pool with room for three times the mean.
const TURN: Turn = {
    executors: 30,
    lostExecutors: 0,
    arrivalsPerSecond: 66,
    slownessOf: () => 1,
    selects: true,
};

const shareInTime = (outcomes: readonly Outcome[]): number =>
    outcomes.filter(({ tookMs, objectiveMs }) => tookMs <= objectiveMs).length / outcomes.length;

/** Outcomes of the jobs whose work is in a range, in shares of all jobs in the order of their work. */
const bySize = (outcomes: readonly Outcome[], from: number, to: number): readonly Outcome[] =>
    outcomes
        .toSorted((left, right) => left.work - right.work)
        .slice(Math.floor(outcomes.length * from), Math.floor(outcomes.length * to));

const longestMs = (outcomes: readonly Outcome[]): number => Math.max(...outcomes.map(({ tookMs }) => tookMs));

test("in a turn of five times the mean more than half of the jobs are in time, large ones among them", () => {
    const outcomes = playTurn(TURN);
    const before = playTurn({ ...TURN, selects: false });
    const share = shareInTime(outcomes);
    assert.ok(shareInTime(before) < 0.2, `${shareInTime(before)} before`);
    assert.ok(share > 0.55, `${share}`);
    assert.ok(shareInTime(bySize(outcomes, 0.9, 1)) > share / 2);
    assert.ok(shareInTime(bySize(outcomes, 0.7, 0.9)) > share / 2);
    assert.ok(longestMs(outcomes) < 1.2 * longestMs(before), `${longestMs(outcomes)} ms`);
});

test("with a third of the executors gone in the middle of a turn, more than twice as many jobs are in time", () => {
    const change = { ...TURN, lostExecutors: 10 };
    const before = playTurn({ ...change, selects: false });
    const outcomes = playTurn(change);
    assert.ok(shareInTime(outcomes) > 2 * shareInTime(before), `${shareInTime(outcomes)}`);
    assert.ok(shareInTime(bySize(outcomes, 0.9, 1)) > shareInTime(outcomes) / 2);
    assert.ok(longestMs(outcomes) < 1.2 * longestMs(before), `${longestMs(outcomes)} ms`);
});

test("with run times that are wrong by a factor of two either way, more than twice as many jobs are in time", () => {
    const change = { ...TURN, slownessOf: (job: number) => (job % 2 === 0 ? 2 : 0.5) };
    const before = playTurn({ ...change, selects: false });
    const outcomes = playTurn(change);
    assert.ok(shareInTime(outcomes) > 2 * shareInTime(before), `${shareInTime(outcomes)}`);
    assert.ok(shareInTime(bySize(outcomes, 0.9, 1)) > shareInTime(outcomes) / 2);
    assert.ok(longestMs(outcomes) < 1.2 * longestMs(before), `${longestMs(outcomes)} ms`);
});

test("with room for all jobs, callers get the same as by the order of the latest start", () => {
    const change = { ...TURN, arrivalsPerSecond: 30 };
    assert.deepEqual(playTurn(change), playTurn({ ...change, selects: false }));
});
