import type { Protocol, ProtocolStep, Trace } from "./protocol.js";

export interface Exploration<Step extends ProtocolStep> {
    readonly states: number;
    readonly transitions: number;
    readonly seconds: number;
    /** Shortest path to a state that breaks an invariant. The exploration stops at the first one. */
    readonly violation?: Trace<Step>;
    /** Shortest path to a state from which no sequence of progress steps reaches a settled state. */
    readonly stuck?: Trace<Step>;
    /**
     * Number of progress steps to the nearest settled state, for the explored state that is furthest from one. `Protocol`
     * defines both terms.
     */
    readonly longestRecovery: number;
}

interface Visit<State, Step> {
    readonly state: State;
    /** Index of the state from which this one was first reached, and the step taken. Absent for the initial state. */
    readonly from?: number;
    readonly step?: Step;
}

/** Progress edges of the explored graph, stored as two number arrays because there are millions of them. */
interface ProgressEdges {
    readonly from: number[];
    readonly to: number[];
}

const MS_PER_SECOND = 1000;

/**
 * Explores the reachable states breadth first until an invariant breaks.
 *
 * This does not use `xstate/graph`, although it visits the same states: its queue holds every edge and is shifted as
 * an array, which is a hundred times slower from about ten thousand states on. A test compares both on a small
 * protocol.
 */
export const explore = <State, Step extends ProtocolStep>(protocol: Protocol<State, Step>): Exploration<Step> => {
    const startedMs = performance.now();
    const visits: Visit<State, Step>[] = [{ state: protocol.initial }];
    const indexByKey = new Map([[keyOf(protocol, protocol.initial), 0]]);
    const progressEdges: ProgressEdges = { from: [], to: [] };
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
            const known = indexByKey.get(key);
            transitions += 1;
            if (known === undefined) {
                indexByKey.set(key, visits.length);
                visits.push({ state: next, from: index, step });
            }
            if (protocol.isProgress(step)) {
                progressEdges.from.push(index);
                progressEdges.to.push(known ?? visits.length - 1);
            }
        });
    }
    const distances = distancesToSettled(protocol, visits, progressEdges);
    const stuck = distances.indexOf(UNREACHABLE);
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
                      violations: ["no sequence of progress steps leads from this state to a settled state"],
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

const UNREACHABLE: number = -1;

/** Smallest number of progress steps from each state to a settled state, or `UNREACHABLE`. */
const distancesToSettled = <State, Step extends ProtocolStep>(
    protocol: Protocol<State, Step>,
    visits: readonly Visit<State, Step>[],
    edges: ProgressEdges,
): readonly number[] => {
    const predecessors = visits.map((): number[] => []);
    edges.to.forEach((to, edge) => predecessors[to]?.push(edges.from[edge] as number));
    const distances = visits.map(({ state }) => (protocol.isSettled(state) ? 0 : UNREACHABLE));
    let frontier = [...visits.keys()].filter(index => distances[index] === 0);
    for (let distance = 1; frontier.length > 0; distance += 1) {
        frontier = [...new Set(frontier.flatMap(index => predecessors[index] ?? []))].filter(
            index => distances[index] === UNREACHABLE,
        );
        frontier.forEach(index => {
            distances[index] = distance;
        });
    }
    return distances;
};
