import { isDeepStrictEqual } from "node:util";
import type { Protocol, ProtocolStep } from "./protocol.js";

/** Applies the given steps in order, skipping those that are not enabled, and returns all violations on the way. */
export const replay = <State, Step extends ProtocolStep>(
    protocol: Protocol<State, Step>,
    steps: readonly Step[],
): readonly string[] => {
    const states = steps.reduce<readonly State[]>(
        (visited, step) => {
            const state = visited.at(-1) as State;
            const isPermitted = protocol.steps(state).some(other => isDeepStrictEqual(other, step));
            return isPermitted ? [...visited, protocol.apply(state, step)] : visited;
        },
        [protocol.initial],
    );
    return states.flatMap(state => protocol.violations(state));
};
