import type { Author } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";

/** What a failure is attributed to. `system` means a fault of almondusher itself. */
export type Fault =
    | { readonly kind: "edit"; readonly revision: number; readonly author: Author }
    | { readonly kind: "endpoint"; readonly vms: readonly VmId[] }
    | { readonly kind: "platform" }
    | { readonly kind: "system" }
    | { readonly kind: "overload" }
    | { readonly kind: "caller" }
    | { readonly kind: "undetermined" };

/** The failures of one cause, what they are attributed to, and the evidence. */
export interface Finding {
    readonly cause: Cause;
    readonly count: number;
    /** Time of the first failure, ISO 8601. */
    readonly firstAt: string;
    /** Time of the last failure, ISO 8601. */
    readonly lastAt: string;
    /** Lowest and highest revision at which the failures occurred. */
    readonly firstRevision: number;
    readonly lastRevision: number;
    readonly fault: Fault;
    readonly evidence: readonly string[];
}

/** The fault to which a rule attributes failures, and what shows it. */
export interface Attribution {
    readonly fault: Fault;
    readonly evidence: readonly string[];
}

/** Returns the kind of a fault as text, with the edit and its author or with the VMs if there are any. */
export const describeFault = (fault: Fault): string => {
    switch (fault.kind) {
        case "edit":
            return `edit ${fault.revision} by ${fault.author.kind} ${fault.author.name}`;
        case "endpoint":
            return `endpoint ${fault.vms.join(", ")}`;
        case "platform":
        case "system":
        case "overload":
        case "caller":
        case "undetermined":
            return fault.kind;
    }
};
