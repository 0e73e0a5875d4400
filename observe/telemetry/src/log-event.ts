import type { LogLevel } from "bunyan";
import type { DataCentreName, PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";

/** Log events. Only changes of state are logged; what happens for each request is counted instead. */
export type LogEvent =
    | { readonly kind: "started"; readonly version: string; readonly settingsFile?: string }
    | { readonly kind: "ready"; readonly revision: number }
    | { readonly kind: "not-ready"; readonly reason: string }
    | { readonly kind: "stopping"; readonly signal: string; readonly inFlight?: number }
    | { readonly kind: "stopped"; readonly exitCode: number }
    | { readonly kind: "revision-adopted"; readonly revision: number; readonly from: "platform" | "peer" }
    | { readonly kind: "member-joined"; readonly member: ProcessId; readonly memberVm: VmId }
    | { readonly kind: "member-left"; readonly member: ProcessId; readonly memberVm: VmId; readonly reason: string }
    | { readonly kind: "platform-down"; readonly operation: string; readonly reason: string }
    | { readonly kind: "platform-up"; readonly downMs: number }
    | { readonly kind: "connections-closed"; readonly reason: string; readonly closed: number }
    | { readonly kind: "lease-taken"; readonly epoch: number }
    | { readonly kind: "lease-lost"; readonly epoch: number; readonly reason: string }
    | { readonly kind: "drain-started"; readonly drainedVm: VmId; readonly pool: PoolName; readonly purpose: string }
    | { readonly kind: "drain-completed"; readonly drainedVm: VmId; readonly pool: PoolName; readonly tookMs: number }
    | {
          readonly kind: "planner-waiting";
          readonly subject: string;
          readonly on: string;
          readonly names: readonly string[];
      }
    | { readonly kind: "plan-refused"; readonly code: string; readonly reason: string }
    | { readonly kind: "maintenance-started"; readonly maintainedVm: VmId; readonly pool: PoolName }
    | { readonly kind: "maintenance-completed"; readonly maintainedVm: VmId; readonly pool: PoolName }
    | { readonly kind: "vm-ejected"; readonly ejectedVm: VmId; readonly pool: PoolName; readonly reason: string }
    | { readonly kind: "vm-restored"; readonly restoredVm: VmId; readonly pool: PoolName }
    | { readonly kind: "domain-failed"; readonly dataCentre: DataCentreName; readonly vms: number }
    | { readonly kind: "grantor-changed"; readonly pool: PoolName; readonly grantor: ProcessId | undefined }
    | { readonly kind: "settings-invalid"; readonly message: string; readonly details: readonly string[] }
    | {
          readonly kind: "internal-error";
          readonly message: string;
          readonly stack?: string | undefined;
          readonly unlogged?: number;
      };

/** Log level of each event. */
export const logLevels: Readonly<Record<LogEvent["kind"], Extract<LogLevel, string>>> = {
    started: "info",
    ready: "info",
    "not-ready": "warn",
    stopping: "info",
    stopped: "info",
    "revision-adopted": "info",
    "member-joined": "info",
    "member-left": "warn",
    "platform-down": "warn",
    "platform-up": "info",
    "connections-closed": "warn",
    "lease-taken": "info",
    "lease-lost": "warn",
    "drain-started": "info",
    "drain-completed": "info",
    "planner-waiting": "warn",
    "plan-refused": "warn",
    "maintenance-started": "info",
    "maintenance-completed": "info",
    "vm-ejected": "warn",
    "vm-restored": "info",
    "domain-failed": "error",
    "grantor-changed": "info",
    "settings-invalid": "error",
    "internal-error": "error",
};
