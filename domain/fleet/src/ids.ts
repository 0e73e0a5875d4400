/** Branded string type: not assignable to strings of another brand. */
export type Brand<Name extends string> = string & { readonly brand: Name };

/** Name of a row in the routes table. */
export type RouteName = Brand<"RouteName">;
/** Name of a row in the pools table. */
export type PoolName = Brand<"PoolName">;
/** Id that the platform assigns to a VM. */
export type VmId = Brand<"VmId">;
/** Team that callers belong to; quotas are set by team. */
export type TeamName = Brand<"TeamName">;
/** Data centre: the failure domain above the rack. */
export type DataCentreName = Brand<"DataCentreName">;
/** Rack: the failure domain below the data centre. */
export type RackName = Brand<"RackName">;
/** Id of one execution of a process; a process restarted on the same VM has a new id. */
export type ProcessId = Brand<"ProcessId">;
/** Id that the author chooses for an edit, so that a retry of the edit is recognised. */
export type EditId = Brand<"EditId">;
/** Id of a request of a caller. */
export type RequestId = Brand<"RequestId">;
/** Id of a claim, which prevents a non-idempotent request from running twice. */
export type ClaimId = Brand<"ClaimId">;

/** Brands a validated string as an id of the given kind. */
export const toId = <Id extends Brand<string>>(text: string): Id => text as Id;
