import { toId, type PoolName, type VmId } from "@almondusher/fleet/ids";
import type { FleetVm, VmCondition } from "@almondusher/upkeep/maintenance";

export const vmId = (text: string): VmId => toId<VmId>(text);
export const poolName = (text: string): PoolName => toId<PoolName>(text);

/** VMs written as `id pool [condition]`. */
export const fleet = (...rows: readonly string[]): ReadonlyMap<VmId, FleetVm> =>
    new Map(
        rows.map(row => {
            const [id = "", pool = "", condition = "up"] = row.split(" ");
            return [vmId(id), { id: vmId(id), pool: poolName(pool), condition: condition as VmCondition }];
        }),
    );
