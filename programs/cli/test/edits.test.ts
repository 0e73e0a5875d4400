import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { startFixture, tables } from "./fixture.js";

const WAIT_MS = 30_000;
const POLL_MS = 500;

const waitForRevision = async (read: () => Promise<string>, expected: string): Promise<void> => {
    const end = performance.now() + WAIT_MS;
    while ((await read()) !== expected) {
        assert.ok(performance.now() < end, `no ${expected}`);
        await delay(POLL_MS);
    }
};

interface Applied {
    readonly outcome: string;
    readonly revision: number;
}

test("an edit is shown, applied, listed in the history, and the older state stays readable", async context => {
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
    assert.equal((JSON.parse(ben.stdout) as Applied).revision, 3);
    const shown = (await run("show", "tables")).stdout;
    assert.match(shown, /"slotsPerVm": 4/);
    assert.match(shown, /"timeoutMs": 2000/);
    const conflict = await apply("cleo.json", tables({ slotsPerVm: 2 }), "--base", "1");
    assert.equal(conflict.exitCode, 3);
    const { error } = JSON.parse(conflict.stdout) as { error: { code: string; details: string[] } };
    assert.equal(error.code, "edit-conflict");
    assert.match(error.details.join(), /pools letters/);
});

test("an edit with an unknown outcome ends with 5 and is recognised when it is repeated", async context => {
    const { run, write, standIn } = await startFixture(context);
    const file = write("tables.json", tables());
    const apply = () => run("apply", file, "--reason", "test", "--yes", "--edit-id", "edit-1", "--json");
    // Each try gives up after 0.4 s; the first write takes effect long after the last try.
    await standIn.control({ table: { delayWritesMs: 8000 } });
    const unknown = await apply();
    assert.equal(unknown.exitCode, 5, unknown.stdout);
    assert.match(unknown.stdout, /--edit-id edit-1/);
    await waitForRevision(async () => (await run("show", "routes")).stderr, "revision 1\n");
    await standIn.control({ table: {} });
    const repeated = JSON.parse((await apply()).stdout) as Applied;
    assert.deepEqual([repeated.outcome, repeated.revision], ["already-applied", 1]);
});

test("a platform that is down ends with 4", async context => {
    const { run, standIn, write } = await startFixture(context);
    await standIn.control({ table: { down: "refuse" } });
    const ended = await run("apply", write("tables.json", tables()), "--reason", "test", "--yes");
    assert.equal(ended.exitCode, 4);
    assert.match(ended.stderr, /^error platform-unavailable: .*\nhint: /m);
});

test("bad input ends with 2, names the fault and shows no stack", async context => {
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
    // One after the other, since every run is a process of its own.
    await inputs.reduce(async (earlier, { args, pattern }) => {
        await earlier;
        const ended = await run(...args);
        assert.equal(ended.exitCode, 2, `${args.join(" ")}: ${ended.stdout}${ended.stderr}`);
        assert.match(ended.stderr, pattern);
        assert.doesNotMatch(ended.stderr, /\n +at /);
    }, Promise.resolve());
});
