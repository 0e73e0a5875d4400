/** A time span of a simulation, in milliseconds since its start. */
export interface FaultSpan {
    readonly fromMs: number;
    readonly durationMs: number;
}

/** Calls to an executor that a fault concerns. */
export type CallKind = "start" | "stop" | "report";

/** Whether an executor comes back after its end: under its id, under a new one, which uses its address, or never. */
export type Return = "same-id" | "new-id" | "never";

/** A fault on the path between the scheduler and an executor. */
export type PathFault = FaultSpan & {
    readonly executor: number;
} & (
        | {
              /** Calls get no response and are executed after the delay. */
              readonly kind: "late-calls";
              readonly calls: CallKind | "all";
              readonly delayMs: number;
          }
        | {
              /** Calls are executed and their responses arrive late. */
              readonly kind: "slow-responses";
              readonly calls: CallKind | "all";
              readonly delayMs: number;
          }
        | {
              /** Calls are executed and get no response. */
              readonly kind: "lost-responses";
              readonly calls: CallKind | "all";
          }
        /** Calls do not arrive. */
        | { readonly kind: "unreachable" }
    );

/** A fault of an executor that stays up. */
type ExecutorFault = FaultSpan & {
    readonly executor: number;
    /**
     * `unhealthy`: it rejects starts and stops. `failing`: its runs fail. `unregistered`: its heartbeats do not arrive.
     * `evacuated`: the fleet manager evacuates its VM and changes its mind.
     */
    readonly kind: "unhealthy" | "failing" | "unregistered" | "evacuated";
};

/** An end of an executor, after which another one uses its VM. */
type ExecutorEnd = {
    readonly executor: number;
    readonly atMs: number;
    readonly downMs: number;
    readonly returns: Return;
    /** Time from the start of the new executor to its first heartbeat, in milliseconds. */
    readonly firstHeartbeatMs: number;
} &
    /** While it is down, its address refuses connections or doesn't respond. */
    (
        | { readonly kind: "crash"; readonly address: "refuses" | "silent" }
        | { readonly kind: "drain"; readonly drainMs: number }
        /** The VM restarts once its evacuation is complete; if that takes too long, the evacuation is called off. */
        | { readonly kind: "maintenance" }
    );

/** A fault of the platform or a change by a user. */
type PoolEvent =
    | (FaultSpan & {
          /** `paused`: the process of the scheduler. `registry-not-read`: its changes are read later. */
          readonly kind: "store-slow" | "lease-not-renewed" | "registry-not-read" | "paused";
      })
    | { readonly kind: "cancel"; readonly job: number; readonly atMs: number };

/** A fault or change at a fixed time. */
export type SimulatedFault = PathFault | ExecutorFault | ExecutorEnd | PoolEvent;

/** True if a time lies in the span. */
export const isWithin = ({ fromMs, durationMs }: FaultSpan, timeMs: number): boolean =>
    timeMs >= fromMs && timeMs < fromMs + durationMs;

/** Time from which a fault has no effect any more, in milliseconds since the start of the simulation. */
export const endOfFault = (fault: SimulatedFault): number => {
    switch (fault.kind) {
        case "late-calls":
        case "slow-responses":
            return fault.fromMs + fault.durationMs + fault.delayMs;
        case "lost-responses":
        case "unreachable":
        case "unhealthy":
        case "failing":
        case "unregistered":
        case "evacuated":
        case "store-slow":
        case "lease-not-renewed":
        case "registry-not-read":
        case "paused":
            return fault.fromMs + fault.durationMs;
        case "crash":
            return fault.atMs + fault.downMs + fault.firstHeartbeatMs;
        case "drain":
            return fault.atMs + fault.drainMs + fault.downMs + fault.firstHeartbeatMs;
        case "maintenance":
            return fault.atMs + MAINTENANCE_WAIT_MS + fault.downMs + fault.firstHeartbeatMs;
        case "cancel":
            return fault.atMs;
    }
};

/** Longest time that the simulated fleet manager waits for an evacuation to be complete, in milliseconds. */
export const MAINTENANCE_WAIT_MS = 8000;
