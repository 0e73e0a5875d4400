import type { Protocol, ProtocolStep, Trace } from "./protocol.js";

export interface Exploration<Step extends ProtocolStep> {
    readonly states: number;
    readonly transitions: number;
    readonly seconds: number;
    /** Shortest path to a broken invariant; the exploration ends there. */
    readonly violation?: Trace<Step>;
    /** Shortest path to a state from which progress alone cannot settle. */
    readonly stuck?: Trace<Step>;
    /** Progress steps that the worst state needs to settle. */
    readonly longestRecovery: number;
}

interface Visit<State, Step> {
    readonly state: State;
    /** Index of the visit that led here first, and the step taken; absent for the initial state. */
    readonly from?: number;
    readonly step?: Step;
}

/** Progress edges of the explored graph, as two columns because there are millions. */
interface ProgressEdges {
    readonly from: number[];
    readonly to: number[];
}

const MS_PER_SECOND = 1000;

/**
 * Visits every reachable state, breadth first, until an invariant breaks.
 * The traversal of `xstate/graph` visits the same states, but its queue keeps every edge and shifts an array, which
 * takes a hundred times longer from some ten thousand states on; a test compares the two on a small protocol.
 */
export const explore = <State, Step extends ProtocolStep>(protocol: Protocol<State, Step>): Exploration<Step> => {
    const startedMs = performance.now();
    const visits: Visit<State, Step>[] = [{ state: protocol.initial }];
    const indexes = new Map([[keyOf(protocol, protocol.initial), 0]]);
    const progress: ProgressEdges = { from: [], to: [] };
    let transitions = 0;
    for (let index = 0; index < visits.length; index += 1) {
        const { state } = visits[index] as Visit<State, Step>;
        const violations = protocol.violations(state);
        if (violations.length > 0) {
            const violation = { protocol: protocol.name, violations, steps: pathTo(visits, index) };
            return {
                states: visits.length,
                transitions,
                seconds: secondsSince(startedMs),
                violation,
                longestRecovery: 0,
            };
        }
        protocol.steps(state).forEach(step => {
            const next = protocol.apply(state, step);
            const key = keyOf(protocol, next);
            const known = indexes.get(key);
            transitions += 1;
            if (known === undefined) {
                indexes.set(key, visits.length);
                visits.push({ state: next, from: index, step });
            }
            if (protocol.isProgress(step)) {
                progress.from.push(index);
                progress.to.push(known ?? visits.length - 1);
            }
        });
    }
    const distances = settlingDistances(protocol, visits, progress);
    const stuck = distances.indexOf(UNREACHED);
    return {
        states: visits.length,
        transitions,
        longestRecovery: distances.reduce((longest, distance) => Math.max(longest, distance), 0),
        seconds: secondsSince(startedMs),
        ...(stuck < 0
            ? {}
            : {
                  stuck: {
                      protocol: protocol.name,
                      violations: ["progress alone cannot settle this state"],
                      steps: pathTo(visits, stuck),
                  },
              }),
    };
};

const keyOf = <State, Step extends ProtocolStep>(protocol: Protocol<State, Step>, state: State): string =>
    protocol.keyOf?.(state) ?? JSON.stringify(state);

const secondsSince = (startedMs: number): number => (performance.now() - startedMs) / MS_PER_SECOND;

const pathTo = <State, Step>(visits: readonly Visit<State, Step>[], index: number): readonly Step[] => {
    const steps: Step[] = [];
    let visit = visits[index];
    while (visit?.from !== undefined && visit.step !== undefined) {
        steps.unshift(visit.step);
        visit = visits[visit.from];
    }
    return steps;
};

const UNREACHED: number = -1;

/** Number of progress steps from each state to the nearest settled one. */
const settlingDistances = <State, Step extends ProtocolStep>(
    protocol: Protocol<State, Step>,
    visits: readonly Visit<State, Step>[],
    edges: ProgressEdges,
): readonly number[] => {
    const before = visits.map((): number[] => []);
    edges.to.forEach((to, edge) => before[to]?.push(edges.from[edge] as number));
    const distances = visits.map(({ state }) => (protocol.isSettled(state) ? 0 : UNREACHED));
    let frontier = [...visits.keys()].filter(index => distances[index] === 0);
    for (let distance = 1; frontier.length > 0; distance += 1) {
        frontier = [...new Set(frontier.flatMap(index => before[index] ?? []))].filter(
            index => distances[index] === UNREACHED,
        );
        frontier.forEach(index => {
            distances[index] = distance;
        });
    }
    return distances;
};
