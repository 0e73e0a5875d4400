import assert from "node:assert/strict";
import { test } from "node:test";
import type { ActorLogic, ActorSystem, Snapshot } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import { completeChecks, gapChecks, guardChecks } from "../src/checks.js";
import { explore } from "../src/explore.js";
import type { MoveState, MoveStep } from "../src/move-state.js";
import { moveProtocol } from "../src/moves.js";
import { loadTrace, variantName } from "../src/traces.js";

completeChecks.forEach(check => {
    test(`every reachable state satisfies the invariants and can reach a settled state: ${check.name}`, context => {
        const { states, seconds, longestRecovery, violation, stuck } = check.run();
        context.diagnostic(`${states} states, ${seconds.toFixed(1)} s, recovery within ${longestRecovery} steps`);
        assert.deepEqual({ violation, stuck }, { violation: undefined, stuck: undefined });
    });
});

[...guardChecks, ...gapChecks].forEach(check => {
    test(`the protocol ${check.protocol} breaks an invariant ${variantName(check.variant)}, and the complete protocol breaks none on the same steps`, () => {
        const { violation } = check.run();
        const { steps, violations } = loadTrace(check);
        assert.deepEqual(violation?.steps, steps);
        assert.deepEqual(violation.violations, violations);
        assert.deepEqual(check.replayComplete(loadTrace(check)), []);
    });
});

type Node = Snapshot<undefined> & { readonly value: MoveState };

test("explore visits as many states as xstate/graph on a small protocol", () => {
    const protocol = moveProtocol({ maxFaults: 0, maxCancels: 1 });
    const nodeOf = (value: MoveState): Node => ({ status: "active", output: undefined, error: undefined, value });
    const logic: ActorLogic<Node, MoveStep, undefined, ActorSystem<never>> = {
        transition: (node, step) => nodeOf(protocol.apply(node.value, step)),
        getInitialSnapshot: () => nodeOf(protocol.initial),
        getPersistedSnapshot: node => node,
    };
    const graph = getAdjacencyMap(logic, {
        serializeState: node => (protocol.keyOf?.(node.value) ?? "") as never,
        events: node => protocol.steps(node.value),
    });
    assert.equal(explore(protocol).states, Object.keys(graph).length);
});
