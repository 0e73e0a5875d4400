import assert from "node:assert/strict";
import { test } from "node:test";
import { containErrors, createErrorReporter, repeatWhileActive } from "../src/process/contain-errors.js";

interface Recorded {
    readonly context: Parameters<typeof createErrorReporter>[0]["context"];
    readonly lines: Readonly<Record<string, unknown>>[];
    readonly counted: () => number;
    readonly setNow: (ms: number) => void;
}

const record = (): Recorded => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    let counted = 0;
    let nowMs = 0;
    return {
        context: {
            log: (event, fields) => lines.push({ event, ...fields }),
            metrics: { count: () => counted++, record: () => undefined, text: () => "" },
            monotonicMs: () => nowMs,
        },
        lines,
        counted: () => counted,
        setNow: ms => (nowMs = ms),
    };
};

test("a loop goes on after a step that throws and after one that rejects", async () => {
    const { context, lines } = record();
    let steps = 0;
    await repeatWhileActive({
        context,
        part: "loop",
        isActive: () => steps < 3,
        step: () => {
            steps++;
            if (steps === 1) {
                throw new Error("thrown");
            }
            return steps === 2 ? Promise.reject(new Error("rejected")) : Promise.resolve();
        },
    });
    assert.equal(steps, 3);
    assert.equal(lines[0]?.["part"], "loop");
});

test("a contained callback reports its error and can be called again", () => {
    const { context, counted } = record();
    const values: number[] = [];
    const callback = containErrors({ context, part: "callback" }, (value: number) => {
        values.push(value);
        if (value === 1) {
            throw new Error("odd value");
        }
    });
    callback(1);
    callback(2);
    assert.deepEqual(values, [1, 2]);
    assert.equal(counted(), 1);
});

test("errors that repeat are counted each time but logged at most once a second", () => {
    const { context, lines, counted, setNow } = record();
    const report = createErrorReporter({ context, part: "part" });
    Array.from({ length: 500 }).forEach((unused, index) => {
        setNow(index);
        report(new Error("again"));
    });
    setNow(1000);
    report("not an error object");
    assert.equal(counted(), 501);
    assert.deepEqual(
        lines.map(({ reason, unlogged }) => [String(reason).split("\n")[0], unlogged]),
        [
            ["Error: again", 0],
            ["not an error object", 499],
        ],
    );
});
