import { createServer, type Server } from "node:net";

// Lies below the kernel's ephemeral port range, from which an outgoing connection can take a port between the check
// and the use of that port.
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 100;
const BLOCKS = 220;
// Coprime to BLOCKS, so that processes with adjacent ids start in different blocks.
const BLOCK_STEP = 97;

const state = { next: FIRST_PORT + ((process.pid * BLOCK_STEP) % BLOCKS) * PORTS_PER_BLOCK };

const nextPort = (): number => {
    const port = state.next;
    const last = FIRST_PORT + BLOCKS * PORTS_PER_BLOCK - 1;
    state.next = port === last ? FIRST_PORT : port + 1;
    return port;
};

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

const findFreePort = async (): Promise<number> => {
    const port = nextPort();
    const server = await tryListen(port);
    if (server === undefined) {
        return findFreePort();
    }
    await new Promise(resolve => server.close(resolve));
    return port;
};

/** Returns free ports of the loopback address. Concurrent processes search different port blocks to avoid conflicts. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await findFreePort());
    }
    return ports;
};
