import type { Change, EditRecord } from "@almondusher/fleet/edit";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { PoolName, RouteName, VmId } from "@almondusher/fleet/ids";
import type { Route } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import type { FailureRow } from "./traffic-log.js";

/** The route, pool or VM whose failures are explained. */
export type Subject =
    | { readonly kind: "route"; readonly name: RouteName }
    | { readonly kind: "pool"; readonly name: PoolName }
    | { readonly kind: "vm"; readonly name: VmId };

/** The routes, pools and VMs that a subject depends on. Pools that it depended on before an edit are included. */
export interface SubjectScope {
    readonly subject: Subject;
    readonly routes: ReadonlySet<RouteName>;
    readonly pools: ReadonlySet<PoolName>;
    readonly vms: ReadonlySet<VmId>;
    /** All versions of the subject's own row if the subject is a route, otherwise empty. */
    readonly routeRows: readonly Route[];
}

interface ScopeInput {
    readonly subject: Subject;
    readonly state: FleetState;
    readonly history: readonly EditRecord[];
}

/** Finds the routes, pools and VMs that a subject depends on. */
export const subjectScope = ({ subject, state, history }: ScopeInput): SubjectScope => {
    const changes = history.flatMap(edit => edit.changes);
    const routeRows = subject.kind === "route" ? versionsOfRoute(subject.name, state, changes) : [];
    const pools = new Set(findPools(subject, state, changes, routeRows));
    return { subject, pools, routeRows, ...findRoutesAndVms(subject, pools, state) };
};

/**
 * True if the change can affect the subject: it alters a row that the subject depends on, or a route that uses one of
 * its pools or may match the same requests, or the assignment of a VM to or from one of its pools.
 */
export const affectsSubject = (change: Change, scope: SubjectScope): boolean => {
    switch (change.table) {
        case "routes":
            return (
                scope.routes.has(change.key) ||
                rowsOf(change).some(row => scope.pools.has(row.pool) || overlapsSubject(row, scope))
            );
        case "pools":
            return scope.pools.has(change.key);
        case "assignments":
            return scope.vms.has(change.key) || rowsOf(change).some(row => scope.pools.has(row.pool));
    }
};

// These causes are determined before the route of a request is known, so they may belong to any route and pool.
// Whether `no-route` belongs to the subject is decided from the edits.
const unroutedCauses: readonly Cause[] = ["no-route", "not-ready", "stopping", "internal"];

/** True if the failure may have happened to the subject itself. */
export const belongsToSubject = (row: FailureRow, { subject }: SubjectScope): boolean => {
    if (row.route === undefined && row.pool === undefined && row.vm === undefined) {
        return subject.kind !== "vm" && unroutedCauses.includes(row.cause);
    }
    switch (subject.kind) {
        case "route":
            return row.route === subject.name;
        case "pool":
            return row.pool === subject.name;
        case "vm":
            return row.vm === subject.name;
    }
};

/** The row before and after a change. */
const rowsOf = <Row>({ before, after }: { before?: Row | undefined; after?: Row | undefined }): readonly Row[] =>
    [before, after].filter(row => row !== undefined);

const versionsOfRoute = (name: RouteName, state: FleetState, changes: readonly Change[]): readonly Route[] => [
    ...[state.routes.get(name)].filter(row => row !== undefined),
    ...changes
        .filter(change => change.table === "routes")
        .filter(change => change.key === name)
        .flatMap(rowsOf<Route>),
];

const findPools = (
    subject: Subject,
    state: FleetState,
    changes: readonly Change[],
    routeRows: readonly Route[],
): readonly PoolName[] => {
    switch (subject.kind) {
        case "route":
            return routeRows.map(row => row.pool);
        case "pool":
            return [subject.name];
        case "vm":
            return [
                ...state.pools.rows.filter(pool => pool.vms.includes(subject.name)).map(pool => pool.name),
                ...[state.assignments.get(subject.name)?.pool].filter(pool => pool !== undefined),
                ...changes.flatMap(change => poolsOfVm(change, subject.name)),
            ];
    }
};

const poolsOfVm = (change: Change, vm: VmId): readonly PoolName[] => {
    switch (change.table) {
        case "routes":
            return [];
        case "pools":
            return rowsOf(change)
                .filter(pool => pool.vms.includes(vm))
                .map(pool => pool.name);
        case "assignments":
            return change.key === vm ? rowsOf(change).map(row => row.pool) : [];
    }
};

const findRoutesAndVms = (
    subject: Subject,
    pools: ReadonlySet<PoolName>,
    state: FleetState,
): Pick<SubjectScope, "routes" | "vms"> => {
    switch (subject.kind) {
        case "route":
            return { routes: new Set([subject.name]), vms: vmsOf(pools, state) };
        case "pool":
            return {
                routes: new Set(state.routes.rows.filter(route => pools.has(route.pool)).map(route => route.name)),
                vms: vmsOf(pools, state),
            };
        case "vm":
            return { routes: new Set(), vms: new Set([subject.name]) };
    }
};

const vmsOf = (pools: ReadonlySet<PoolName>, state: FleetState): ReadonlySet<VmId> =>
    new Set(state.assignments.rows.filter(row => pools.has(row.pool)).map(row => row.vm));

const overlapsSubject = (row: Route, scope: SubjectScope): boolean =>
    scope.routeRows.some(
        own =>
            (own.host === undefined || row.host === undefined || own.host === row.host) &&
            (own.pathPrefix.startsWith(row.pathPrefix) || row.pathPrefix.startsWith(own.pathPrefix)),
    );
