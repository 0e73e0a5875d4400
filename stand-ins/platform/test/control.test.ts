import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { type PlatformStandIn, startPlatformStandIn } from "../src/start-platform-stand-in.js";

const start = async (context: TestContext): Promise<PlatformStandIn> => {
    const standIn = await startPlatformStandIn();
    context.after(() => standIn.close());
    return standIn;
};

const post = (url: string, body: unknown) => fetch(`${url}/control`, { method: "POST", body: JSON.stringify(body) });
const putObject = (standIn: PlatformStandIn, name: string, body: string) =>
    fetch(`${standIn.objectUrl}/bucket/${name}`, { method: "PUT", body, signal: AbortSignal.timeout(1000) });
const readObject = async (standIn: PlatformStandIn, name: string) => {
    const response = await fetch(`${standIn.objectUrl}/bucket/${name}`);
    return response.ok ? response.text() : undefined;
};

test("loseAnswers drops the answers of selected writes and loseRequests drops the writes themselves", async context => {
    const standIn = await start(context);
    await post(standIn.controlUrl, {
        objects: { loseAnswers: { kind: "positions", positions: [1] }, loseRequests: { kind: "every", nth: 3 } },
    });
    const names = ["a", "b", "c"];
    const outcomes: boolean[] = [];
    for (const name of names) {
        outcomes.push(
            await putObject(standIn, name, name).then(
                response => response.ok,
                () => false,
            ),
        );
    }
    assert.deepEqual(outcomes, [true, false, false]);
    assert.deepEqual(await Promise.all(names.map(name => readObject(standIn, name))), ["a", "b", undefined]);
});

test("a service that is down does not affect the others and keeps its data and address", async context => {
    const standIn = await start(context);
    await putObject(standIn, "a", "kept");
    for (const down of ["refuse", "hang"]) {
        await post(standIn.controlUrl, { objects: { down } });
        await assert.rejects(putObject(standIn, "a", "lost"));
        assert.equal((await fetch(`${standIn.vmListUrl}/vms`)).status, 200);
        await post(standIn.controlUrl, { objects: {} });
        assert.equal(await readObject(standIn, "a"), "kept");
    }
});

test("a malformed control request is rejected with the name of the invalid key", async context => {
    const standIn = await start(context);
    const response = await post(standIn.controlUrl, { table: { down: "sometimes" } });
    assert.equal(response.status, 400);
    assert.match(await response.text(), /table\.down/);
    const counts = await (await fetch(`${standIn.controlUrl}/control`)).json();
    assert.deepEqual(counts, { table: [], objects: [], vmList: [] });
});

test("the program reads its settings from a file, prints its addresses and exits with 0 on SIGTERM", async context => {
    const folder = await mkdtemp(join(tmpdir(), "platform-stand-in-"));
    context.after(() => rm(folder, { recursive: true }));
    const file = join(folder, "settings.json");
    await writeFile(file, JSON.stringify({ listLagMs: 5 }));
    const main = fileURLToPath(new URL("../src/main.ts", import.meta.url));
    const program = spawn(process.execPath, [...process.execArgv, main, "--settings", file], { stdio: "pipe" });
    context.after(() => program.kill("SIGKILL"));
    const [line] = (await once(createInterface(program.stdout), "line")) as [string];
    const { event, vmListUrl } = JSON.parse(line) as { event: string; vmListUrl: string };
    assert.equal(event, "started");
    assert.deepEqual(await (await fetch(`${vmListUrl}/vms`)).json(), { vms: [] });
    program.kill("SIGTERM");
    const [code] = (await once(program, "exit")) as [number | undefined];
    assert.equal(code, 0);
});
