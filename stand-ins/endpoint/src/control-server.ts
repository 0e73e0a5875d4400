import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { VmId } from "@almondusher/fleet/ids";
import { describeIssues } from "@almondusher/fleet/issue-text";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { z } from "zod";
import type { EndpointVm } from "./endpoint-vm.js";
import { faultSchema } from "./fault-schema.js";
import { listRuns, type RunCounts } from "./run-counts.js";

export interface ControlServerOptions {
    readonly vms: readonly EndpointVm[];
    readonly runCounts: RunCounts;
}

const targetSchema = z.strictObject({
    /** All VMs if absent. */
    vm: nameSchema<VmId>().optional(),
    faults: faultSchema.optional(),
    /** Stops reading and writing on the connections that are open now. */
    silenceExisting: z.boolean().default(false),
});

interface Reply {
    readonly statusCode: number;
    readonly body: unknown;
}

/**
 * Creates the control API. `GET /counts` returns the VMs' counters and the run counts of all request ids and idempotency
 * keys; `GET /repeated` returns the same, but only ids and keys with at least two runs. `POST /faults` sets faults, and
 * `POST /reset` clears the run counts by request id and key.
 */
export const createControlServer = (options: ControlServerOptions): Server =>
    createServer((request, response) => {
        handleRequest(options, request).then(
            reply => send(response, reply),
            (error: unknown) => send(response, { statusCode: 500, body: { message: String(error) } }),
        );
    });

const send = (response: ServerResponse, reply: Reply): void => {
    const text = `${JSON.stringify(reply.body)}\n`;
    response.writeHead(reply.statusCode, { "content-type": "application/json" }).end(text);
};

const handleRequest = async (options: ControlServerOptions, request: IncomingMessage): Promise<Reply> => {
    switch (`${request.method} ${request.url}`) {
        case "GET /counts":
            return { statusCode: 200, body: listCounts(options, 1) };
        case "GET /repeated":
            return { statusCode: 200, body: listCounts(options, 2) };
        case "POST /reset":
            options.runCounts.byRequest.clear();
            options.runCounts.byKey.clear();
            return { statusCode: 200, body: {} };
        case "POST /faults":
            return setFaults(options, await readBody(request));
        default:
            return { statusCode: 404, body: { message: `unknown control request: ${request.method} ${request.url}` } };
    }
};

const listCounts = ({ vms, runCounts }: ControlServerOptions, minRuns: number): unknown => ({
    vms: vms.map(vm => vm.counts()),
    requests: listRuns(runCounts.byRequest, minRuns),
    keys: listRuns(runCounts.byKey, minRuns),
});

const readBody = async (request: IncomingMessage): Promise<string> => {
    const chunks = (await request.toArray()) as Buffer[];
    return Buffer.concat(chunks).toString();
};

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
};

const setFaults = async ({ vms }: ControlServerOptions, text: string): Promise<Reply> => {
    const parsed = targetSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        return { statusCode: 400, body: { message: "invalid fault request", details: describeIssues(parsed.error) } };
    }
    const { vm, faults, silenceExisting } = parsed.data;
    const targets = vms.filter(candidate => vm === undefined || candidate.vm === vm);
    if (targets.length === 0) {
        return { statusCode: 404, body: { message: `this stand-in has no VM ${vm}` } };
    }
    if (silenceExisting) {
        targets.forEach(target => target.silenceExisting());
    }
    if (faults !== undefined) {
        await Promise.all(targets.map(target => target.setFaults(faults)));
    }
    return { statusCode: 200, body: { vms: targets.map(target => target.vm) } };
};
