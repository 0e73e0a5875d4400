import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

/** An endpoint that echoes request bodies and headers, for tests of HTTP conformance. */
export interface EchoEndpoint {
    /** IP address and port. */
    readonly address: string;
    close: () => Promise<void>;
}

const STATUS_HEADER = "x-answer-status";
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

const sendEcho = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    const status = Number(incoming.headers[STATUS_HEADER] ?? 200);
    if (status === NO_CONTENT || status === NOT_MODIFIED || incoming.method === "HEAD") {
        outgoing.writeHead(status, status === NO_CONTENT ? {} : { "content-length": 11, etag: '"a"' }).end();
        return;
    }
    const requestId = incoming.headers["almondusher-request-id"];
    // Trailers require chunked encoding, which Node.js uses if Content-Length is absent.
    outgoing.writeHead(status, {
        trailer: "x-echo-trailer",
        "x-seen-headers": JSON.stringify(incoming.headers),
        // The entry must strip this header: a verdict is valid only on an endpoint's refusal. Echoing the id is allowed.
        "almondusher-verdict": "not-run",
        ...(requestId === undefined ? {} : { "almondusher-request-id": requestId }),
    });
    incoming.pipe(outgoing, { end: false });
    incoming.once("end", () => {
        outgoing.addTrailers({ "x-echo-trailer": incoming.trailers["x-sent-trailer"] ?? "none" });
        outgoing.end();
    });
};

/** Starts an endpoint on a free port of the loopback address. */
export const startEchoEndpoint = async (): Promise<EchoEndpoint> => {
    const server = createServer({ keepAliveTimeout: 0 }, sendEcho);
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
