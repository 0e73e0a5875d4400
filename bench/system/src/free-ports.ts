import { createServer, type Server } from "node:net";

// Lies below the kernel's ephemeral port range, from which an outgoing connection can take a port between the check
// and the use of that port.
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 100;
const BLOCKS = 220;
// Coprime to BLOCKS, so that processes with adjacent ids start in different blocks.
const BLOCK_STEP = 97;

/** The block of ports that this process hands out; `next` is the next port of it. */
interface Block {
    readonly index: number;
    next: number;
}

let block: Block | undefined;

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

/**
 * Claims a block of ports for the rest of this process by listening on its first port. A port of a process that has
 * ended is free until the process is started again, and another test must not be given it in that time.
 */
const claimBlock = async (index: number, tries = BLOCKS): Promise<Block> => {
    if (tries === 0) {
        throw new Error(`all ${BLOCKS} blocks of ports from ${FIRST_PORT} on are in use`);
    }
    const firstPort = FIRST_PORT + index * PORTS_PER_BLOCK;
    const server = await tryListen(firstPort);
    if (server === undefined) {
        return claimBlock((index + 1) % BLOCKS, tries - 1);
    }
    server.unref();
    return { index, next: firstPort + 1 };
};

const nextPort = async (): Promise<number> => {
    if (block === undefined) {
        block = await claimBlock((process.pid * BLOCK_STEP) % BLOCKS);
    } else if (block.next === FIRST_PORT + (block.index + 1) * PORTS_PER_BLOCK) {
        block = await claimBlock((block.index + 1) % BLOCKS);
    }
    return block.next++;
};

const findFreePort = async (): Promise<number> => {
    const port = await nextPort();
    const server = await tryListen(port);
    if (server === undefined) {
        return findFreePort();
    }
    await new Promise(resolve => server.close(resolve));
    return port;
};

let search: Promise<unknown> = Promise.resolve();

/** Returns free ports of the loopback address that no other process gets from this function while this one runs. */
export const freePorts = (count: number): Promise<readonly number[]> => {
    const found = search.then(async () => {
        const ports: number[] = [];
        while (ports.length < count) {
            ports.push(await findFreePort());
        }
        return ports;
    });
    search = found.catch(() => undefined);
    return found;
};
