import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest, type JsonServer } from "./json-server.js";

interface StandInVm {
    readonly id: string;
    readonly pool: string;
    /** Id of the executor on the VM; undefined while the VM is off. */
    readonly executor: string | undefined;
}

/** An accepted order to move or maintain a VM. */
interface VmOrderRecord {
    readonly vm: string;
    readonly kind: "move" | "upkeep";
    /** Pool of a move, or number of the maintenance wave. */
    readonly target: string;
    readonly fence: number;
}

/** Effects of orders on the executors. */
export interface VmOrderEffects {
    /** True if the VM accepts no order since its executor is about to end. */
    readonly isLeaving: (vm: string) => boolean;
    /** Ends the executor of the VM and resolves once the next one runs, with its id, or undefined if the VM is off. */
    readonly replaceExecutor: (vm: string, pool: string) => Promise<string | undefined>;
}

export interface VmServiceStandInOptions {
    readonly vms: readonly StandInVm[];
    /** False if orders with a lower fencing token than one received before are carried out nevertheless. */
    readonly enforcesFencing?: boolean;
    /** Delay of the answer to an order in milliseconds; the order is carried out at once. */
    readonly answerDelayMs?: () => number;
    /** Carries orders out; if undefined, they take effect at once and a VM under maintenance stays `up`. */
    readonly effects?: VmOrderEffects | undefined;
}

/** Stand-in for the platform's VM service: the list of VMs and the orders to move and maintain them. */
export interface VmServiceStandIn {
    readonly address: string;
    readonly orders: readonly VmOrderRecord[];
    readonly close: () => Promise<void>;
}

const moveSchema = z.object({ machine: z.string(), pool: z.string() });
const upkeepSchema = z.object({ machine: z.string(), wave: z.number() });

/** Starts the VM service. */
export const startVmServiceStandIn = async ({
    vms,
    enforcesFencing = true,
    answerDelayMs = () => 0,
    effects,
}: VmServiceStandInOptions): Promise<VmServiceStandIn> => {
    const orders: VmOrderRecord[] = [];
    const pools = new Map(vms.map(({ id, pool }) => [id, pool]));
    const executors = new Map(vms.map(({ id, executor }) => [id, executor]));
    /** Orders that are being carried out, by VM. */
    const current = new Map<string, VmOrderRecord["kind"]>();
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
        if (effects !== undefined && isDone(record)) {
            return reply(200);
        }
        if (effects !== undefined && (current.has(record.vm) || effects.isLeaving(record.vm))) {
            return reply(409, { reason: "busy" });
        }
        orders.push({ ...record, fence: fencingToken });
        if (record.kind === "move") {
            pools.set(record.vm, record.target);
        }
        void replaceExecutor(record);
        return reply(200);
    };
    const isDone = ({ vm, kind, target }: Omit<VmOrderRecord, "fence">): boolean =>
        kind === "move"
            ? pools.get(vm) === target
            : orders.some(order => order.vm === vm && order.kind === kind && order.target === target);
    const replaceExecutor = async ({ vm, kind }: Omit<VmOrderRecord, "fence">): Promise<void> => {
        if (effects === undefined) {
            return;
        }
        current.set(vm, kind);
        executors.set(vm, undefined);
        executors.set(vm, await effects.replaceExecutor(vm, pools.get(vm) ?? ""));
        current.delete(vm);
    };
    const stateOf = (vm: string): string => {
        switch (current.get(vm)) {
            case undefined:
                return "up";
            case "move":
                return "moving";
            case "upkeep":
                return "upkeep";
        }
    };
    const carryOut = (request: JsonRequest): JsonReply => {
        switch (request.path) {
            case "/-/machines":
                return reply(200, {
                    machines: vms.map(({ id }) => ({
                        machine: id,
                        pool: pools.get(id),
                        state: stateOf(id),
                        zone: "dc-1",
                        labels: ["a", "r1-1"],
                        id: executors.get(id),
                    })),
                });
            case "/-/machine-move": {
                const { machine, pool } = moveSchema.parse(request.body);
                return acceptOrder(request, { vm: machine, kind: "move", target: pool });
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
