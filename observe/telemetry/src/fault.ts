import type { Author } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";

/** What a failure is attributed to. */
export type Fault =
    | { readonly kind: "edit"; readonly revision: number; readonly author: Author }
    | { readonly kind: "endpoint"; readonly vms: readonly VmId[] }
    | { readonly kind: "platform" }
    | { readonly kind: "system" }
    | { readonly kind: "overload" }
    | { readonly kind: "caller" }
    | { readonly kind: "undetermined" };

/** The failures of one cause, what they are attributed to, and why. */
export interface Finding {
    readonly cause: Cause;
    readonly count: number;
    /** ISO 8601. */
    readonly firstAt: string;
    readonly lastAt: string;
    /** Lowest and highest revision in use where the failures occurred. */
    readonly firstRevision: number;
    readonly lastRevision: number;
    readonly fault: Fault;
    readonly evidence: readonly string[];
}

/** The result of a rule that applies. */
export interface Attribution {
    readonly fault: Fault;
    readonly evidence: readonly string[];
}

/** A short text that names what is at fault. */
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
