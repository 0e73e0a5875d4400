import assert from "node:assert/strict";
import { test } from "node:test";
import { guardChecks } from "../src/checks.js";
import { explore } from "../src/explore.js";
import { runKey } from "../src/run-key.js";
import type { RunGuard, RunState } from "../src/run-state.js";
import { runProtocol } from "../src/runs.js";
import { loadTrace } from "../src/traces.js";

const MAX_FAULTS = 1;
const MAX_STARTS = 2;
const protocol = runProtocol({ maxFaults: MAX_FAULTS, maxStarts: MAX_STARTS });
const keyOf = (state: RunState): string => runKey(state, MAX_FAULTS);

/** All reachable states, without use of the key. */
const reachableStates = (): readonly RunState[] => {
    const states = new Map([[JSON.stringify(protocol.initial), protocol.initial]]);
    states.forEach(state =>
        protocol.steps(state).forEach(step => {
            const next = protocol.apply(state, step);
            states.set(JSON.stringify(next), next);
        }),
    );
    return [...states.values()];
};

/** What the explorer derives from a state, with the states that follow as their keys. Steps within the key are left out. */
const describeState = (state: RunState): string => {
    const key = keyOf(state);
    const next = protocol
        .steps(state)
        .map(step => ({ key: keyOf(protocol.apply(state, step)), isProgress: protocol.isProgress(step) }))
        .filter(other => other.key !== key)
        .map(other => JSON.stringify(other));
    return JSON.stringify([protocol.isSettled(state), protocol.violations(state), [...new Set(next)].sort()]);
};

test("states of the run protocol with the same key can be followed by the same keys", context => {
    const states = reachableStates();
    const descriptions = new Map<string, string>();
    const differing = states.find(state => {
        const key = keyOf(state);
        const description = describeState(state);
        const known = descriptions.get(key) ?? description;
        descriptions.set(key, known);
        return known !== description;
    });
    context.diagnostic(`${states.length} states, ${descriptions.size} keys`);
    assert.equal(differing, undefined);
});

guardChecks
    .filter(check => check.protocol === protocol.name)
    .forEach(check => {
        test(`the key hides no violation of the run protocol without the guard ${check.guard}`, () => {
            const disabledGuard = check.guard as RunGuard;
            const mutant = runProtocol({ maxFaults: 2, maxStarts: 2, disabledGuard });
            const { violation } = explore({ ...mutant, keyOf: state => runKey(state, 2) });
            const { steps, violations } = loadTrace(check);
            assert.deepEqual(violation?.violations, violations);
            assert.equal(violation.steps.length, steps.length);
        });
    });
