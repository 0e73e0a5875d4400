import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";

export interface RawEndpoint {
    readonly address: string;
    readonly sockets: readonly Socket[];
    /** All bytes received, over all connections. */
    readonly received: () => string;
}

/** Starts a TCP server that calls `onRequest` for each request head; the callback can respond with arbitrary bytes. */
export const startRawEndpoint = async (
    context: TestContext,
    onRequest: (socket: Socket, request: number) => void,
): Promise<RawEndpoint> => {
    const sockets: Socket[] = [];
    let received = "";
    let requests = 0;
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            if (data.includes("HTTP/1.1\r\n")) {
                requests += 1;
                onRequest(socket, requests);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    context.after(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets, received: () => received };
};
