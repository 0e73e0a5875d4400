import { request } from "node:http";
import type { Connections } from "./connection-pool.js";
import { parseAddress } from "./endpoint-address.js";

/** What a probe on a new connection found. */
export type ProbeResult =
    /** The VM answered: an exchange that is silent has lost its path or is long work. */
    | { readonly kind: "alive"; readonly statusCode: number }
    /** The VM refused the connection or could not be reached. */
    | { readonly kind: "unreachable"; readonly message: string }
    /** The VM accepted the connection and did not answer. */
    | { readonly kind: "silent" };

const DEFAULT_TIMEOUT_MS = 2_000;

/** Asks an endpoint VM for any answer on a new connection outside the pool. */
export const probeEndpoint = (
    connections: Connections,
    address: string,
    timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<ProbeResult> =>
    new Promise(resolve => {
        connections.probes += 1;
        let connected = false;
        const probe = request({
            ...parseAddress(address),
            method: "OPTIONS",
            path: "*",
            agent: false,
        });
        const finish = (result: ProbeResult): void => {
            clearTimeout(timer);
            resolve(result);
            probe.destroy();
        };
        const timer = setTimeout(() => {
            finish(connected ? { kind: "silent" } : { kind: "unreachable", message: "connect timeout" });
        }, timeoutMs);
        probe.on("socket", socket => {
            socket.once("connect", () => {
                connected = true;
            });
        });
        probe.on("response", response => {
            finish({ kind: "alive", statusCode: response.statusCode ?? 0 });
        });
        probe.on("error", error => {
            finish(connected ? { kind: "silent" } : { kind: "unreachable", message: error.message });
        });
        probe.end();
    });
