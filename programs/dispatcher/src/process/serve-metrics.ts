import { createServer, type Server } from "node:http";
import { guardClients, type GuardClientsOptions } from "./guard-clients.js";

/** Starts an HTTP server that responds to every request with the metrics. */
export const serveMetrics = (context: GuardClientsOptions["context"], host: string, port: number): Server => {
    const server = createServer();
    const guard = guardClients(server, { context, listener: "metrics" });
    server.on(
        "request",
        guard.inTurn((unusedRequest, response) => {
            response.setHeader("content-type", "text/plain; version=0.0.4");
            response.end(context.metrics.text());
        }),
    );
    return server.listen(port, host);
};
