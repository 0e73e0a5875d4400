import { FleetError } from "./fleet-error.js";
import type { FleetState } from "./fleet-state.js";
import type { Route } from "./route.js";

const findUnknownPools = (state: FleetState): readonly string[] =>
    state.routes.rows
        .filter(route => !state.pools.has(route.pool))
        .map(route => `route ${route.name}: pool ${route.pool} does not exist; add the pool or choose another one`);

const findVmsInSeveralPools = (state: FleetState): readonly string[] => {
    const memberships = state.pools.rows.flatMap(pool => pool.vms.map(vm => ({ vm, pool: pool.name })));
    const firstPool = new Map<string, string>();
    return memberships.flatMap(({ vm, pool }) => {
        const first = firstPool.get(vm);
        if (first === undefined) {
            firstPool.set(vm, pool);
            return [];
        }
        return [`pool ${pool}: VM ${vm} is already in pool ${first}; list it in one pool only`];
    });
};

const methodsOverlap = (left: Route, right: Route): boolean =>
    left.methods.length === 0 ||
    right.methods.length === 0 ||
    left.methods.some(method => right.methods.includes(method));

const findOverlaps = (state: FleetState): readonly string[] => {
    const byTarget = new Map<string, readonly Route[]>();
    return state.routes.rows.flatMap(route => {
        const target = `${route.host ?? "*"}${route.pathPrefix}`;
        const earlier = byTarget.get(target) ?? [];
        byTarget.set(target, [...earlier, route]);
        return earlier
            .filter(other => methodsOverlap(route, other))
            .map(
                other =>
                    `route ${route.name}: overlaps route ${other.name} at ${target}; give them different methods, hosts or prefixes`,
            );
    });
};

const findInvalidAvailabilityBudgets = (state: FleetState): readonly string[] => {
    const spareVms = state.pools.rows.filter(pool => pool.spare).reduce((count, pool) => count + pool.vms.length, 0);
    return state.pools.rows.flatMap(pool => {
        if (pool.minAvailable > pool.vms.length) {
            return [
                `pool ${pool.name}: minAvailable ${pool.minAvailable} exceeds its ${pool.vms.length} VMs; lower it or add VMs`,
            ];
        }
        const canBorrow = !pool.spare && pool.maxBorrowed > 0 && spareVms > 0;
        if (pool.vms.length > 0 && pool.minAvailable === pool.vms.length && !canBorrow) {
            return [
                `pool ${pool.name}: minAvailable ${pool.minAvailable} leaves no VM for maintenance; lower it, add a VM, or allow it to borrow from a spare pool`,
            ];
        }
        return [];
    });
};

const findRepeatedQuotas = (state: FleetState): readonly string[] =>
    state.pools.rows.flatMap(pool => {
        const teams = pool.quotas.map(quota => quota.team);
        return teams
            .filter((team, index) => teams.indexOf(team) !== index)
            .map(team => `pool ${pool.name}: team ${team} has more than one quota; keep one`);
    });

/** Checks the rules that span tables or rows; throws `invalid-edit` with one line for each violation. */
export const checkFleet = (state: FleetState): void => {
    const findings = [
        ...findUnknownPools(state),
        ...findVmsInSeveralPools(state),
        ...findOverlaps(state),
        ...findInvalidAvailabilityBudgets(state),
        ...findRepeatedQuotas(state),
    ];
    if (findings.length > 0) {
        throw new FleetError("invalid-edit", {
            message: findings.length === 1 ? findings.join() : `the tables violate ${findings.length} rules`,
            hint: "correct the rows listed and try again; nothing was changed",
            details: findings,
        });
    }
};
