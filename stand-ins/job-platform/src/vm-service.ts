import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest, type JsonServer } from "./json-server.js";

/** A VM of the stand-in. */
export interface StandInVm {
    readonly id: string;
    readonly pool: string;
    /** Executor that runs there. */
    readonly executor: string;
}

/** An order that was carried out. */
interface VmOrderRecord {
    readonly vm: string;
    readonly kind: "move" | "upkeep";
    readonly target: string;
    readonly fence: number;
}

/** Stand-in for the platform's list of VMs and its orders. */
export interface VmServiceStandIn {
    readonly address: string;
    readonly orders: readonly VmOrderRecord[];
    readonly close: () => Promise<void>;
}

const move = z.object({ machine: z.string(), pool: z.string() });
const upkeep = z.object({ machine: z.string(), wave: z.number() });

/** Starts the stand-in; VMs are back in service at once. */
export const startVmServiceStandIn = async (vms: readonly StandInVm[]): Promise<VmServiceStandIn> => {
    const orders: VmOrderRecord[] = [];
    const pools = new Map(vms.map(({ id, pool }) => [id, pool]));
    const fences = new Map<string, number>();
    const accept = (request: JsonRequest, record: Omit<VmOrderRecord, "fence">): JsonReply => {
        const fence = Number(request.headers["fence-token"]);
        if (!pools.has(record.vm)) {
            return reply(400);
        }
        if (fence < (fences.get(record.vm) ?? 0)) {
            return reply(409, { reason: "fence" });
        }
        fences.set(record.vm, fence);
        orders.push({ ...record, fence });
        return reply(200);
    };
    const handle = (request: JsonRequest): JsonReply => {
        switch (request.path) {
            case "/-/machines":
                return reply(200, {
                    machines: vms.map(({ id, executor }) => ({
                        machine: id,
                        pool: pools.get(id),
                        state: "up",
                        zone: "dc-1",
                        labels: ["a", "r1-1"],
                        id: executor,
                    })),
                });
            case "/-/machine-move": {
                const { machine, pool } = move.parse(request.body);
                const answer = accept(request, { vm: machine, kind: "move", target: pool });
                pools.set(machine, pool);
                return answer;
            }
            case "/-/machine-upkeep": {
                const { machine, wave } = upkeep.parse(request.body);
                return accept(request, { vm: machine, kind: "upkeep", target: String(wave) });
            }
            default:
                return reply(404);
        }
    };
    const server: JsonServer = await startJsonServer(handle);
    return { address: server.address, orders, close: server.close };
};
