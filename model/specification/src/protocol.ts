/** One transition. The type names the action, the other fields its parameters. */
export interface ProtocolStep {
    readonly type: string;
}

/** A transition system with invariants. States must be JSON values. */
export interface Protocol<State, Step extends ProtocolStep> {
    readonly name: string;
    readonly initial: State;
    /** Steps enabled in a state. */
    readonly steps: (state: State) => readonly Step[];
    readonly apply: (state: State, step: Step) => State;
    /** Key under which symmetric states are explored once. The default is the state as JSON. */
    readonly keyOf?: (state: State) => string;
    /** One message for each invariant that the state breaks. */
    readonly violations: (state: State) => readonly string[];
    /** True for progress steps, which still occur after faults have stopped. */
    readonly isProgress: (step: Step) => boolean;
    /** True for settled states: final states, one of which must be reachable from every state by progress steps alone. */
    readonly isSettled: (state: State) => boolean;
}

/** Counterexample: the steps from the initial state to a state with violations. */
export interface Trace<Step extends ProtocolStep> {
    readonly protocol: string;
    /** Guard that was disabled. Absent for the complete protocol. */
    readonly withoutGuard?: string;
    /** Known gap that was admitted. Absent if none was. */
    readonly withGap?: string;
    readonly violations: readonly string[];
    readonly steps: readonly Step[];
}
