import { connect } from "node:net";

const IDLE_MS = 500;

/** Sends text as it is to a URL's port and returns all that arrives until the connection ends or is idle. */
export const sendRaw = (callerUrl: string, text: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const { hostname, port } = new URL(callerUrl);
        const socket = connect({ host: hostname, port: Number(port) });
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        socket.setTimeout(IDLE_MS, () => socket.destroy());
        socket.once("error", reject);
        socket.once("close", () => resolve(Buffer.concat(chunks).toString()));
        socket.write(text);
    });
