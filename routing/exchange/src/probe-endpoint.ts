import { request } from "node:http";
import type { ConnectionPool } from "./connection-pool.js";
import { parseAddress } from "./endpoint-address.js";

/** Result of a probe on a new connection. */
export type ProbeResult =
    /** The VM responded: an exchange without progress has lost its network path or runs a long request. */
    | { readonly kind: "alive"; readonly statusCode: number }
    /** The VM refused the connection or did not accept it in time. */
    | { readonly kind: "unreachable"; readonly message: string }
    /** The VM accepted the connection but did not respond. */
    | { readonly kind: "silent" };

const DEFAULT_TIMEOUT_MS = 2_000;

/** Sends `OPTIONS *` to an endpoint VM on a new connection outside the pool; any response shows that it is alive. */
export const probeEndpoint = (
    connections: ConnectionPool,
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
