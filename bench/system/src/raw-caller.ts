import { connect } from "node:net";

const IDLE_TIMEOUT_MS = 500;

/** Sends raw text over TCP to the host and port of a URL; returns all data received until the connection closes or idles. */
export const sendRaw = (callerUrl: string, text: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const { hostname, port } = new URL(callerUrl);
        const socket = connect({ host: hostname, port: Number(port) });
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
        socket.once("error", reject);
        socket.once("close", () => resolve(Buffer.concat(chunks).toString()));
        socket.write(text);
    });
