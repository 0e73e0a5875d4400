/** One step of a protocol; the type names what happens, the other fields say where. */
export interface ProtocolStep {
    readonly type: string;
}

/** A transition system with invariants. States are JSON values. */
export interface Protocol<State, Step extends ProtocolStep> {
    readonly name: string;
    readonly initial: State;
    /** Steps that may happen next, in any order. */
    readonly steps: (state: State) => readonly Step[];
    readonly apply: (state: State, step: Step) => State;
    /** Text that is equal for states that differ only by names; the JSON text of the state if absent. */
    readonly keyOf?: (state: State) => string;
    /** Broken invariants, one line each. */
    readonly violations: (state: State) => readonly string[];
    /** True for steps that go on happening once faults stop. */
    readonly isProgress: (step: Step) => boolean;
    /** True if nothing is left to happen. */
    readonly isSettled: (state: State) => boolean;
}

/** Steps from the initial state to a state that breaks an invariant. */
export interface Trace<Step extends ProtocolStep> {
    readonly protocol: string;
    /** Guard that the protocol ran without; absent for the complete protocol. */
    readonly withoutGuard?: string;
    readonly violations: readonly string[];
    readonly steps: readonly Step[];
}
