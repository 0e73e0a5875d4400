import { type AddressInfo, createServer, type Server } from "node:net";

const listen = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });

/** Ports of the loopback address that were free a moment ago. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, listen));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
