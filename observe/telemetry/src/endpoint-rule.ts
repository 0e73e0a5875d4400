import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";
import type { Vm } from "@almondusher/fleet/vm";
import { endpointCauses } from "./edit-effects.js";
import { countRows, type ExplainInput, MS_PER_MINUTE, type RuleInput } from "./explain-input.js";
import type { FailureRow } from "./failure-log.js";
import type { Attribution } from "./fault.js";
import type { SubjectScope } from "./subject-scope.js";

// Retries spread the failures of one VM a little; a fifth elsewhere still points to it.
const CONCENTRATION = 0.8;
// One entry that sees nearly all failures while others send as much has a fault on its own path.
const SINGLE_PROCESS_SHARE = 0.95;
// Capacity is short for some minutes after a VM failed.
const CAPACITY_EFFECT_MS = 5 * MS_PER_MINUTE;

/** Attributes failures at endpoints to a VM, to the VMs of one rack or data centre, or to the path of one entry. */
export const judgeEndpoints = ({ group, scope, input }: RuleInput): Attribution | undefined =>
    judgeRows(poolFailures([group.cause], scope, input), scope, input);

/** Attributes a shortage of capacity to VMs of the pool that began to fail before it. */
export const judgeLostCapacity = ({ group, scope, input }: RuleInput): Attribution | undefined => {
    const rows = poolFailures(endpointCauses, scope, input).filter(
        row => row.firstAtMs <= group.firstAtMs && row.lastAtMs >= group.firstAtMs - CAPACITY_EFFECT_MS,
    );
    const judged = judgeRows(rows, scope, input);
    return judged?.fault.kind === "endpoint"
        ? { fault: judged.fault, evidence: ["the pool was short of the VMs that failed before", ...judged.evidence] }
        : undefined;
};

const poolFailures = (
    causes: readonly Cause[],
    { pools }: SubjectScope,
    { traffic, fromMs, toMs }: ExplainInput,
): readonly FailureRow[] =>
    traffic.failures.filter(
        row =>
            causes.includes(row.cause) &&
            row.pool !== undefined &&
            pools.has(row.pool) &&
            row.vm !== undefined &&
            row.lastAtMs >= fromMs &&
            row.firstAtMs <= toMs,
    );

const judgeRows = (rows: readonly FailureRow[], scope: SubjectScope, input: ExplainInput): Attribution | undefined => {
    const total = countRows(rows);
    const [top] = countBy(rows, row => row.vm);
    if (top === undefined || total === 0) {
        return undefined;
    }
    if (top.count >= total * CONCENTRATION) {
        const others = countOthers(top.key, scope.pools, input);
        const evidence = `${top.count} of ${total} failures are on ${top.key}; ${others} other VMs serve the same pools`;
        return { fault: { kind: "endpoint", vms: [top.key] }, evidence: [evidence] };
    }
    return judgeProcess(rows, scope, input) ?? judgeDomain(rows, input.vms ?? []);
};

const countOthers = (vm: VmId, pools: ReadonlySet<PoolName>, { state }: ExplainInput): number =>
    state.assignments.rows.filter(row => pools.has(row.pool) && row.vm !== vm).length;

const countBy = <Key, Row extends { readonly count: number }>(
    rows: readonly Row[],
    keyOf: (row: Row) => Key | undefined,
): readonly { readonly key: Key; readonly count: number }[] => {
    const counts = new Map<Key, number>();
    rows.forEach(row => {
        const key = keyOf(row);
        if (key !== undefined) {
            counts.set(key, (counts.get(key) ?? 0) + row.count);
        }
    });
    return [...counts].map(([key, count]) => ({ key, count })).sort((left, right) => right.count - left.count);
};

const judgeProcess = (
    rows: readonly FailureRow[],
    scope: SubjectScope,
    input: ExplainInput,
): Attribution | undefined => {
    const [top] = countBy(rows, row => row.process);
    const arrivals = input.traffic.arrivals.filter(row => row.pool !== undefined && scope.pools.has(row.pool));
    const senders = countBy(arrivals, row => row.process).filter(sender => sender.count > 0);
    if (top === undefined || senders.length < 2 || top.count < countRows(rows) * SINGLE_PROCESS_SHARE) {
        return undefined;
    }
    const evidence = `${top.count} of ${countRows(rows)} failures, on several VMs, are seen by process ${top.key} alone of ${senders.length} that send`;
    return { fault: { kind: "system" }, evidence: [evidence] };
};

const judgeDomain = (rows: readonly FailureRow[], vms: readonly Vm[]): Attribution | undefined => {
    const failing = countBy(rows, row => row.vm).map(({ key }) => key);
    const places = failing.map(id => vms.find(vm => vm.id === id));
    const [first] = places;
    if (first === undefined || places.some(place => place === undefined)) {
        return undefined;
    }
    const oneRack = places.every(place => place?.rack === first.rack && place.dataCentre === first.dataCentre);
    const oneDataCentre = places.every(place => place?.dataCentre === first.dataCentre);
    const hasOther = vms.some(vm => vm.role === "endpoint" && vm.dataCentre !== first.dataCentre);
    if (!oneRack && !(oneDataCentre && hasOther)) {
        return undefined;
    }
    const domain = oneRack ? `rack ${first.rack} of ${first.dataCentre}` : `data centre ${first.dataCentre}`;
    const evidence = `all ${failing.length} VMs that fail are in ${domain}`;
    return { fault: { kind: "endpoint", vms: failing }, evidence: [evidence] };
};
