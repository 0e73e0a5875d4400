import type { EntityTable } from "./entity-table.js";
import type { RouteName } from "./ids.js";
import type { Route } from "./route.js";

/** The parts of a request that routes are matched against. */
interface RouteQuery {
    /** Host in lower case without a port. */
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    readonly method: string;
}

/** Index for finding the route of a request in one revision of the routes table. */
export interface RouteIndex {
    find: (query: RouteQuery) => Route | undefined;
}

// A prefix matches whole path segments only: /plots matches /plots/7 and not /plots-archive.
const matchesPath = (prefix: string, path: string): boolean =>
    path === prefix || (path.startsWith(prefix) && (prefix.endsWith("/") || path[prefix.length] === "/"));

const matchesMethod = (route: Route, method: string): boolean =>
    route.methods.length === 0 || route.methods.includes(method);

/** Builds the index: a matching route with a host takes precedence over one without, then the longest prefix. */
export const routeIndex = (routes: EntityTable<RouteName, Route>): RouteIndex => {
    const byPrefixLength = [...routes.rows].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    const anyHost = byPrefixLength.filter(route => route.host === undefined);
    const byHost = new Map<string, readonly Route[]>(
        byPrefixLength.flatMap(route => (route.host === undefined ? [] : [[route.host, []]])),
    );
    byPrefixLength.forEach(route => {
        if (route.host !== undefined) {
            byHost.set(route.host, [...(byHost.get(route.host) ?? []), route]);
        }
    });
    const findIn = (candidates: readonly Route[], query: RouteQuery): Route | undefined =>
        candidates.find(route => matchesPath(route.pathPrefix, query.path) && matchesMethod(route, query.method));
    return { find: query => findIn(byHost.get(query.host) ?? [], query) ?? findIn(anyHost, query) };
};
