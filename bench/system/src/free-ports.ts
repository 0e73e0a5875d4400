import { createServer, type Server } from "node:net";

// Below the range from which the kernel takes ports for outgoing connections; one of those took a port in between.
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 100;
const BLOCKS = 220;
// Has no factor in common with the number of blocks, so that processes with near ids start in different blocks.
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

const takePort = async (): Promise<number> => {
    const port = nextPort();
    const server = await tryListen(port);
    if (server === undefined) {
        return takePort();
    }
    await new Promise(resolve => server.close(resolve));
    return port;
};

/** Ports of the loopback address that are free now and that other runs of this program do not try at once. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await takePort());
    }
    return ports;
};
