import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { startFixture, tables } from "./fixture.js";

const WAIT_MS = 30_000;
const POLL_MS = 500;

const waitForRevision = async (read: () => Promise<string>, expected: string): Promise<void> => {
    const end = performance.now() + WAIT_MS;
    while ((await read()) !== expected) {
        assert.ok(performance.now() < end, `the output never became ${expected}`);
        await delay(POLL_MS);
    }
};

interface ApplyOutput {
    readonly outcome: string;
    readonly revision: number;
}

test("an applied edit appears in diff, show and history, and the older revision stays readable", async context => {
    const { run, write } = await startFixture(context);
    const first = write("first.json", tables());
    const second = write("second.json", tables({ slotsPerVm: 4 }));
    assert.match((await run("apply", first, "--reason", "start", "--author", "anna", "--yes")).stdout, /revision 1/);
    assert.match((await run("diff", second)).stdout, /pools letters: slotsPerVm 8 -> 4/);
    assert.equal((await run("apply", second, "--reason", "less", "--author", "ben", "--yes")).exitCode, 0);
    const shown = await run("show", "tables");
    assert.equal(shown.stderr, "revision 2\n");
    assert.match((await run("diff", write("shown.json", shown.stdout))).stdout, /^0 row/);
    assert.match((await run("show", "pools", "--revision", "1")).stdout, /letters +2 +1 +8 /);
    const history = await run("history", "--row", "pools/letters", "--from", "2");
    assert.match(history.stdout, /revision 2 .* operator ben .*\n +reason: less\n +pools letters: slotsPerVm 8 -> 4\n/);
});

test("a file made from an older revision does not revert a row that someone else changed since", async context => {
    const { run, write } = await startFixture(context);
    const apply = (name: string, content: object, ...flags: string[]) =>
        run("apply", write(name, content), "--reason", "test", "--yes", "--json", ...flags);
    await apply("start.json", tables());
    await apply("anna.json", tables({ slotsPerVm: 4 }), "--base", "1");
    const ben = await apply("ben.json", tables({ timeoutMs: 2000 }), "--base", "1");
    assert.equal((JSON.parse(ben.stdout) as ApplyOutput).revision, 3);
    const shown = (await run("show", "tables")).stdout;
    assert.match(shown, /"slotsPerVm": 4/);
    assert.match(shown, /"timeoutMs": 2000/);
    const conflict = await apply("cleo.json", tables({ slotsPerVm: 2 }), "--base", "1");
    assert.equal(conflict.exitCode, 3);
    const { error } = JSON.parse(conflict.stdout) as { error: { code: string; details: string[] } };
    assert.equal(error.code, "edit-conflict");
    assert.match(error.details.join(), /pools letters/);
});

test("apply exits with 5 on an unknown outcome and does not apply the edit again when repeated", async context => {
    const { run, write, standIn } = await startFixture(context);
    const file = write("tables.json", tables());
    const apply = () => run("apply", file, "--reason", "test", "--yes", "--edit-id", "edit-1", "--json");
    // Each attempt times out after 0.4 s; the delayed first write takes effect long after the last attempt.
    await standIn.control({ table: { delayWritesMs: 8000 } });
    const unknown = await apply();
    assert.equal(unknown.exitCode, 5, unknown.stdout);
    assert.match(unknown.stdout, /--edit-id edit-1/);
    await waitForRevision(async () => (await run("show", "routes")).stderr, "revision 1\n");
    await standIn.control({ table: {} });
    const repeated = JSON.parse((await apply()).stdout) as ApplyOutput;
    assert.deepEqual([repeated.outcome, repeated.revision], ["already-applied", 1]);
});

test("apply exits with 4 if the platform is down", async context => {
    const { run, standIn, write } = await startFixture(context);
    await standIn.control({ table: { down: "refuse" } });
    const result = await run("apply", write("tables.json", tables()), "--reason", "test", "--yes");
    assert.equal(result.exitCode, 4);
    assert.match(result.stderr, /^error platform-unavailable: .*\nhint: /m);
});

test("invalid input exits with 2 and an error message without a stack trace", async context => {
    const { run, write } = await startFixture(context);
    const broken = write("broken.json", tables({ minAvailable: 2 }));
    const malformed = write("malformed.json", '{"routes": [{"name": "A"}], "pools": []}');
    const inputs = [
        { args: ["validate", broken], pattern: /^error invalid-edit: pool letters: minAvailable 2/ },
        { args: ["apply", broken, "--reason", "r", "--yes"], pattern: /^error invalid-edit/ },
        { args: ["apply", write("t.json", tables()), "--reason", "r"], pattern: /not confirmed.*\nhint: give --yes/ },
        { args: ["validate", malformed], pattern: /routes\.0\.name/ },
        { args: ["validate", "nowhere.json"], pattern: /nowhere\.json cannot be read/ },
        { args: ["show", "racks"], pattern: /^error usage: Expected racks/ },
        { args: ["show", "routes", "--revision", "7"], pattern: /no revision 7/ },
        { args: ["history", "--settings", "nowhere.json"], pattern: /^error invalid-settings/ },
        { args: ["explain", "pool", "nowhere"], pattern: /no pool nowhere/ },
        { args: ["explain", "pool", "letters", "--since", "yesterday"], pattern: /--since yesterday/ },
        { args: ["dump", "localhost"], pattern: /localhost is not an http/ },
        { args: ["unheard-of"], pattern: /unheard-of not found/ },
    ];
    // Runs the commands one at a time, since each run starts a process.
    await inputs.reduce(async (previous, { args, pattern }) => {
        await previous;
        const result = await run(...args);
        assert.equal(result.exitCode, 2, `${args.join(" ")}: ${result.stdout}${result.stderr}`);
        assert.match(result.stderr, pattern);
        assert.doesNotMatch(result.stderr, /\n +at /);
    }, Promise.resolve());
});
