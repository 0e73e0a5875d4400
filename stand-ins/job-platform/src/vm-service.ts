import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest, type JsonServer } from "./json-server.js";

interface StandInVm {
    readonly id: string;
    readonly pool: string;
    /** Id of the executor on the VM. */
    readonly executor: string;
}

/** An accepted order to move or maintain a VM. */
interface VmOrderRecord {
    readonly vm: string;
    readonly kind: "move" | "upkeep";
    /** Pool of a move, or number of the maintenance wave. */
    readonly target: string;
    readonly fence: number;
}

export interface VmServiceStandInOptions {
    readonly vms: readonly StandInVm[];
    /** False if orders with a lower fencing token than one received before are carried out nevertheless. */
    readonly enforcesFencing?: boolean;
    /** Delay of the answer to an order in milliseconds; the order is carried out at once. */
    readonly answerDelayMs?: () => number;
}

/** Stand-in for the platform's VM service: the list of VMs and the orders to move and maintain them. */
export interface VmServiceStandIn {
    readonly address: string;
    readonly orders: readonly VmOrderRecord[];
    readonly close: () => Promise<void>;
}

const moveSchema = z.object({ machine: z.string(), pool: z.string() });
const upkeepSchema = z.object({ machine: z.string(), wave: z.number() });

/** Starts the VM service. Orders take effect at once, and a VM under maintenance stays `up`. */
export const startVmServiceStandIn = async ({
    vms,
    enforcesFencing = true,
    answerDelayMs = () => 0,
}: VmServiceStandInOptions): Promise<VmServiceStandIn> => {
    const orders: VmOrderRecord[] = [];
    const pools = new Map(vms.map(({ id, pool }) => [id, pool]));
    /** Highest fencing token accepted for each VM. */
    const highestTokens = new Map<string, number>();
    const acceptOrder = (request: JsonRequest, record: Omit<VmOrderRecord, "fence">): JsonReply => {
        const fencingToken = Number(request.headers["fence-token"]);
        if (!pools.has(record.vm)) {
            return reply(400);
        }
        if (enforcesFencing && fencingToken < (highestTokens.get(record.vm) ?? 0)) {
            return reply(409, { reason: "fence" });
        }
        highestTokens.set(record.vm, fencingToken);
        orders.push({ ...record, fence: fencingToken });
        return reply(200);
    };
    const carryOut = (request: JsonRequest): JsonReply => {
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
                const { machine, pool } = moveSchema.parse(request.body);
                const answer = acceptOrder(request, { vm: machine, kind: "move", target: pool });
                pools.set(machine, pool);
                return answer;
            }
            case "/-/machine-upkeep": {
                const { machine, wave } = upkeepSchema.parse(request.body);
                return acceptOrder(request, { vm: machine, kind: "upkeep", target: String(wave) });
            }
            default:
                return reply(404);
        }
    };
    const handle = async (request: JsonRequest): Promise<JsonReply> => {
        const answer = carryOut(request);
        if (request.method === "POST") {
            await sleep(answerDelayMs());
        }
        return answer;
    };
    const server: JsonServer = await startJsonServer(handle);
    return { address: server.address, orders, close: server.close };
};
