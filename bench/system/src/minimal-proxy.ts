import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Pool } from "undici";

const CONNECTIONS_PER_TARGET = 64;

/** Baseline proxy: Node.js HTTP server, undici client, round-robin over the targets, no policies. Prints its port. */
export const runMinimalProxy = (targets: readonly string[]): void => {
    const pools = targets.map(target => new Pool(target, { connections: CONNECTIONS_PER_TARGET, pipelining: 1 }));
    let next = 0;
    const server = createServer((incoming, outgoing) => {
        next = (next + 1) % pools.length;
        const hasBody = incoming.headers["content-length"] !== undefined || "transfer-encoding" in incoming.headers;
        pools[next]?.stream(
            {
                path: incoming.url ?? "/",
                method: incoming.method ?? "GET",
                headers: incoming.headers,
                ...(hasBody ? { body: incoming } : {}),
            },
            ({ statusCode, headers }) => {
                outgoing.writeHead(statusCode, headers);
                return outgoing;
            },
            error => {
                if (error instanceof Error) {
                    outgoing.destroy();
                }
            },
        );
    });
    server.listen(0, "127.0.0.1", () => {
        console.log(JSON.stringify({ ready: true, port: (server.address() as AddressInfo).port }));
    });
};
