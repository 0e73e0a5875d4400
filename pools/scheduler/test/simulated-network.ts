import type { ExecutorId } from "@almondusher/jobs/ids";
import type { SimulatedExecutor, SimulatedResponse } from "./simulated-executor.js";
import { isWithin, type CallKind, type PathFault } from "./simulated-fault.js";
import type { SimulatedTime } from "./simulated-time.js";

/** Outcome of a call to an executor, as the scheduler sees it. */
export type CallResult = SimulatedResponse | { readonly kind: "not-sent" } | { readonly kind: "unknown" };

/** What can be reached at an address at the moment. */
export type Endpoint =
    { readonly kind: "executor"; readonly executor: SimulatedExecutor } | { readonly kind: "refuses" | "silent" };

interface SimulatedCall {
    readonly kind: CallKind;
    /** Index of the VM that is called. */
    readonly vm: number;
    /** Names the call in a trace. */
    readonly label: string;
    /** The executor that is meant; another one at its address rejects the call. */
    readonly id: ExecutorId;
    /** Start of the executor at the other end of the connection, in Unix milliseconds; undefined for a new connection. */
    readonly connectedTo: number | undefined;
    readonly timeoutMs: number;
    readonly execute: (executor: SimulatedExecutor, respond: (response: SimulatedResponse) => void) => void;
    /** Called once, with the response or after the time limit. */
    readonly done: (result: CallResult) => void;
}

export type OutlastingCalls = "all" | "all-but-starts";

export interface SimulatedNetworkOptions {
    readonly time: SimulatedTime;
    /** Time of the scheduler's process, in which responses are received. */
    readonly callerTime: SimulatedTime;
    readonly faults: readonly PathFault[];
    readonly endpointOf: (vm: number) => Endpoint;
    /** Late calls that may be executed by a later incarnation of the executor than the one that they were sent to. */
    readonly callsOutlastIncarnations: OutlastingCalls;
    readonly trace: (line: string) => void;
}

/** Sends calls to executors, with the faults of their paths. */
export interface SimulatedNetwork {
    readonly send: (call: SimulatedCall) => void;
}

const DELAY_MS = 2;

/** Creates the paths between the scheduler and the executors. */
export const createSimulatedNetwork = (options: SimulatedNetworkOptions): SimulatedNetwork => {
    const { time, callerTime, endpointOf } = options;
    const activeFaults = ({ vm, kind }: SimulatedCall): readonly PathFault[] =>
        options.faults.filter(
            fault =>
                fault.executor === vm &&
                isWithin(fault, time.nowMs()) &&
                (fault.kind === "unreachable" || fault.calls === "all" || fault.calls === kind),
        );
    const execute = (
        { vm, id, kind, execute, connectedTo }: SimulatedCall,
        sentTo: Endpoint,
        respond: (result: CallResult) => void,
        isLate = false,
    ): void => {
        const endpoint = endpointOf(vm);
        switch (endpoint.kind) {
            case "executor":
                if (
                    options.callsOutlastIncarnations === "all-but-starts" &&
                    kind === "start" &&
                    (sentTo.kind !== "executor" || sentTo.executor !== endpoint.executor)
                ) {
                    return;
                }
                // A connection ends with the process, which resets it; only the platform delivers a call to a later one.
                if (!isLate && connectedTo !== undefined && connectedTo !== endpoint.executor.bornMs) {
                    respond({ kind: "unknown" });
                    return;
                }
                if (endpoint.executor.id !== id) {
                    respond({ kind: "rejected", reason: "other-life", clockMs: undefined });
                    return;
                }
                execute(endpoint.executor, respond);
                return;
            case "refuses":
                respond({ kind: "not-sent" });
                return;
            case "silent":
                return;
        }
    };
    return {
        send: call => {
            let isDone = false;
            const finish = (result: CallResult): void => {
                if (!isDone) {
                    isDone = true;
                    if (call.kind !== "report") {
                        options.trace(`${call.label}: ${result.kind === "rejected" ? result.reason : result.kind}`);
                    }
                    call.done(result);
                }
            };
            const faults = activeFaults(call);
            const sentTo = endpointOf(call.vm);
            const late = faults.find(fault => fault.kind === "late-calls");
            const slow = faults.find(fault => fault.kind === "slow-responses");
            const isLost = faults.some(({ kind }) => kind === "lost-responses");
            const isCut = faults.some(({ kind }) => kind === "unreachable");
            callerTime.after(call.timeoutMs, () => finish({ kind: "unknown" }));
            if (isCut) {
                return;
            }
            if (late !== undefined) {
                time.after(late.delayMs, () => execute(call, sentTo, () => undefined, true));
                return;
            }
            const respond = (result: CallResult): void => {
                if (!isLost || result.kind === "not-sent") {
                    callerTime.after(DELAY_MS + (slow?.delayMs ?? 0), () => finish(result));
                }
            };
            time.after(DELAY_MS, () => execute(call, sentTo, respond));
        },
    };
};
