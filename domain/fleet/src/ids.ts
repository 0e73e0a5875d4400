/** A string that is only interchangeable with strings of the same brand. */
export type Brand<Name extends string> = string & { readonly brand: Name };

/** Name of a row in the routes table. */
export type RouteName = Brand<"RouteName">;
/** Name of a row in the pools table. */
export type PoolName = Brand<"PoolName">;
/** Id that the platform gives to a VM. */
export type VmId = Brand<"VmId">;
/** Team that callers belong to; quotas are kept by team. */
export type TeamName = Brand<"TeamName">;
/** Failure domain above the rack. */
export type DataCentreName = Brand<"DataCentreName">;
/** Failure domain below the data centre. */
export type RackName = Brand<"RackName">;
/** One run of a process; a restart on the same VM has a new id. */
export type ProcessId = Brand<"ProcessId">;
/** Chosen by the author of an edit, so that a repeated edit is recognised. */
export type EditId = Brand<"EditId">;
/** One request of a caller. */
export type RequestId = Brand<"RequestId">;
/** One claim of a non-idempotent request. */
export type ClaimId = Brand<"ClaimId">;

/** Marks a checked string as an id of the given kind. */
export const toId = <Id extends Brand<string>>(text: string): Id => text as Id;
