import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Cause } from "@almondusher/fleet/verdict";
import type { Vm } from "@almondusher/fleet/vm";
import { endpointCauses } from "./edit-effects.js";
import { sumCounts, type ExplainInput, MS_PER_MINUTE, type RuleContext } from "./explain-input.js";
import type { FailureRow } from "./traffic-log.js";
import type { Attribution } from "./fault.js";
import type { SubjectScope } from "./subject-scope.js";

// Share of the failures that must be on one VM to attribute them to it. Retries move some failures to other VMs, so
// up to a fifth may occur elsewhere.
const SINGLE_VM_SHARE = 0.8;
// If one entry sees at least this share of the failures while other entries send requests too, the fault is in that
// entry or on its network path.
const SINGLE_PROCESS_SHARE = 0.95;
// A failed VM may cause a shortage of capacity for this long after its last failure.
const CAPACITY_EFFECT_MS = 5 * MS_PER_MINUTE;

/**
 * Attributes endpoint failures to one VM, to the system if one of several entries recorded nearly all of them, or to the
 * VMs of one rack or data centre.
 */
export const attributeToEndpoints = ({ group, scope, input }: RuleContext): Attribution | undefined =>
    attributeRows(poolFailures([group.cause], scope, input), scope, input);

/** Attributes a shortage of capacity to VMs of the pool that failed before it. */
export const attributeToLostCapacity = ({ group, scope, input }: RuleContext): Attribution | undefined => {
    const rows = poolFailures(endpointCauses, scope, input).filter(
        row => row.firstAtMs <= group.firstAtMs && row.lastAtMs >= group.firstAtMs - CAPACITY_EFFECT_MS,
    );
    const attribution = attributeRows(rows, scope, input);
    return attribution?.fault.kind === "endpoint"
        ? {
              fault: attribution.fault,
              evidence: ["VMs of the pool failed before the shortage of capacity began", ...attribution.evidence],
          }
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

const attributeRows = (
    rows: readonly FailureRow[],
    scope: SubjectScope,
    input: ExplainInput,
): Attribution | undefined => {
    const total = sumCounts(rows);
    const [top] = countBy(rows, row => row.vm);
    if (top === undefined || total === 0) {
        return undefined;
    }
    if (top.count >= total * SINGLE_VM_SHARE) {
        const otherVms = countOtherVms(top.key, scope.pools, input);
        const evidence = `${top.count} of ${total} failures are on ${top.key}; ${otherVms} other VMs serve the same pools`;
        return { fault: { kind: "endpoint", vms: [top.key] }, evidence: [evidence] };
    }
    return attributeToSingleProcess(rows, scope, input) ?? attributeToFailureDomain(rows, input.vms ?? []);
};

const countOtherVms = (vm: VmId, pools: ReadonlySet<PoolName>, { state }: ExplainInput): number =>
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

const attributeToSingleProcess = (
    rows: readonly FailureRow[],
    scope: SubjectScope,
    input: ExplainInput,
): Attribution | undefined => {
    const [top] = countBy(rows, row => row.process);
    const arrivals = input.traffic.arrivals.filter(row => row.pool !== undefined && scope.pools.has(row.pool));
    const senders = countBy(arrivals, row => row.process).filter(sender => sender.count > 0);
    if (top === undefined || senders.length < 2 || top.count < sumCounts(rows) * SINGLE_PROCESS_SHARE) {
        return undefined;
    }
    const evidence = `${top.count} of ${sumCounts(rows)} failures, on several VMs, were seen by process ${top.key}, one of ${senders.length} processes that send requests to the pool`;
    return { fault: { kind: "system" }, evidence: [evidence] };
};

const attributeToFailureDomain = (rows: readonly FailureRow[], vms: readonly Vm[]): Attribution | undefined => {
    const failing = countBy(rows, row => row.vm).map(({ key }) => key);
    const locations = failing.map(id => vms.find(vm => vm.id === id));
    const [first] = locations;
    if (first === undefined || locations.some(location => location === undefined)) {
        return undefined;
    }
    const oneRack = locations.every(
        location => location?.rack === first.rack && location.dataCentre === first.dataCentre,
    );
    const oneDataCentre = locations.every(location => location?.dataCentre === first.dataCentre);
    const hasOther = vms.some(vm => vm.role === "endpoint" && vm.dataCentre !== first.dataCentre);
    if (!oneRack && !(oneDataCentre && hasOther)) {
        return undefined;
    }
    const domain = oneRack ? `rack ${first.rack} of ${first.dataCentre}` : `data centre ${first.dataCentre}`;
    const evidence = `all ${failing.length} VMs with failures are in ${domain}`;
    return { fault: { kind: "endpoint", vms: failing }, evidence: [evidence] };
};
