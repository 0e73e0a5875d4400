import assert from "node:assert/strict";
import { test } from "node:test";
import type * as FreePorts from "../src/free-ports.js";

const PORTS = 60;

// Each copy of the module starts in the same block, as do processes whose ids differ by the number of blocks.
const loadCopy = (copy: number): Promise<typeof FreePorts> =>
    import(`../src/free-ports.js?copy=${copy}`) as Promise<typeof FreePorts>;

test("a port given to one test must not be given to another while nothing listens on it", async () => {
    const copies = await Promise.all([1, 2, 3].map(loadCopy));
    const ports = (await Promise.all(copies.map(({ freePorts }) => freePorts(PORTS)))).flat();
    assert.equal(new Set(ports).size, copies.length * PORTS);
});

test("concurrent searches of one process return different ports, also beyond its first block", async () => {
    const { freePorts } = await loadCopy(4);
    const ports = (await Promise.all([freePorts(PORTS), freePorts(PORTS)])).flat();
    assert.equal(new Set(ports).size, 2 * PORTS);
});
