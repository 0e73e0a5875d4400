import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** An HTTP request with its JSON body parsed. */
export interface JsonRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: unknown;
}

/** Outcome of a request. `no-reply` leaves it unanswered, `disconnect` closes the connection without an answer. */
export type JsonReply =
    | { readonly kind: "reply"; readonly status: number; readonly body: unknown }
    | { readonly kind: "no-reply" }
    | { readonly kind: "disconnect" };

/** HTTP server on the loopback address. */
export interface JsonServer {
    /** host:port */
    readonly address: string;
    /** Resets all connections, as the end of a process does, and goes on accepting new ones. */
    readonly resetConnections: () => void;
    readonly close: () => Promise<void>;
}

export const reply = (status: number, body: unknown = {}): JsonReply => ({ kind: "reply", status, body });

/** Starts a server that passes each request to `handle`. Port 0 selects a free port. */
export const startJsonServer = async (
    handle: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
    port = 0,
): Promise<JsonServer> => {
    const server: Server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://stand-in");
        void readBody(request)
            .then(body =>
                handle({
                    method: request.method ?? "GET",
                    path: url.pathname,
                    query: url.searchParams,
                    headers: request.headers,
                    body,
                }),
            )
            .then(answer => {
                switch (answer.kind) {
                    case "reply":
                        response.writeHead(answer.status, { "content-type": "application/json" });
                        response.end(JSON.stringify(answer.body));
                        break;
                    case "disconnect":
                        request.socket.destroy();
                        break;
                    case "no-reply":
                        break;
                }
            });
    });
    const sockets = new Set<Socket>();
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        resetConnections: () => sockets.forEach(socket => socket.resetAndDestroy()),
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: async () => {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
};

const readBody = async (request: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    return text === "" ? undefined : JSON.parse(text);
};
