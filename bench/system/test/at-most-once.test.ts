import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { type CallResult, callEntry, wholeAnswer } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { readCounts, runsOfKey, setFaults } from "../src/endpoint-control.js";
import { restartEntry, startFailureFleet } from "../src/failure-fleet.js";
import { pollUntil } from "../src/operator-client.js";
import { readPutCount, setTableFault } from "../src/platform-control.js";

const LIMIT_MS = 10_000;
const SERVICES = ["orders", "cut", "unkeyed"];
const VMS_PER_SERVICE = 2;
const VMS = SERVICES.length * VMS_PER_SERVICE;

let deployment: Deployment;
let first: DeployedEntry;
let second: DeployedEntry;
let victim: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({ services: SERVICES, vmsPerService: VMS_PER_SERVICE, entries: 3 });
    [first, second, victim] = deployment.entries as [DeployedEntry, DeployedEntry, DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

const pay = (entry: DeployedEntry, key: string, workMs = 0, service = "orders"): Promise<CallResult> =>
    callEntry(entry, {
        method: "POST",
        path: `/${service}/pay`,
        headers: { "idempotency-key": key, "x-work-ms": String(workMs) },
        body: "{}",
    });

const expectRepeat = (result: CallResult, verdicts: readonly string[]): void => {
    const { status, verdict } = wholeAnswer(result);
    assert.equal(status, 409);
    assert.ok(verdicts.includes(verdict ?? ""), `verdict ${verdict}`);
};

const waitForRun = (key: string): Promise<true> =>
    pollUntil({
        what: `a run of ${key}`,
        timeoutMs: LIMIT_MS,
        read: async () => ((await runsOfKey(deployment, key)) > 0 ? true : undefined),
    });

// The outcome is written after the answer, so that a repeat may find the claim held for a moment.
const waitUntilRan = (entry: DeployedEntry, key: string): Promise<true> =>
    pollUntil({
        what: `verdict ran for ${key}`,
        timeoutMs: LIMIT_MS,
        read: async () => {
            const result = await pay(entry, key);
            expectRepeat(result, ["ran", "may-have-run"]);
            return wholeAnswer(result).verdict === "ran" ? true : undefined;
        },
    });

/** Sends a paid request while writes are slow and returns once its claim is on the way. */
const payWithSlowClaim = async (key: string): Promise<{ result: Promise<CallResult> }> => {
    await setTableFault(deployment, { delayWritesMs: 400 });
    const known = await readPutCount(deployment);
    const result = pay(victim, key);
    await pollUntil({
        what: `the claim of ${key} on the way`,
        timeoutMs: LIMIT_MS,
        read: async () => ((await readPutCount(deployment)) > known ? true : undefined),
    });
    return { result };
};

const kill = async (entry: DeployedEntry): Promise<void> => {
    entry.child.process.kill("SIGKILL");
    await entry.child.exited;
};

test("a key repeated through another entry while the first attempt runs, and after it, does not run again", async () => {
    const running = pay(first, "repeat-1", 800);
    await waitForRun("repeat-1");
    expectRepeat(await pay(second, "repeat-1"), ["may-have-run"]);
    assert.equal(wholeAnswer(await running).status, 200);
    await waitUntilRan(second, "repeat-1");
    await waitUntilRan(first, "repeat-1");
    assert.equal(await runsOfKey(deployment, "repeat-1"), 1);
});

test("entries that get the same key at the same moment run it once together", async () => {
    const keys = Array.from({ length: 20 }, (unused, index) => `race-${index}`);
    const results = await Promise.all(
        keys.map(async key =>
            (await Promise.all(deployment.entries.map(entry => pay(entry, key, 50)))).map(wholeAnswer),
        ),
    );
    results.forEach(answers => {
        assert.deepEqual(answers.map(answer => answer.status).sort(), [200, 409, 409]);
    });
    const { keys: rows } = await readCounts(deployment);
    keys.forEach(key => assert.equal(rows.find(row => row.id === key)?.runs, 1));
});

test("an entry killed while its claim is written, during the run and after the answer leaves no second run", async () => {
    const beforeSend = await payWithSlowClaim("killed-before");
    await kill(victim);
    await setTableFault(deployment);
    assert.equal((await beforeSend.result).kind, "broken");
    await restartEntry(deployment, victim, VMS);
    expectRepeat(await pay(first, "killed-before"), ["may-have-run"]);
    assert.equal(await runsOfKey(deployment, "killed-before"), 0);

    const duringRun = pay(victim, "killed-during", 1_000);
    await waitForRun("killed-during");
    await kill(victim);
    assert.equal((await duringRun).kind, "broken");
    expectRepeat(await pay(first, "killed-during"), ["may-have-run"]);
    await restartEntry(deployment, victim, VMS);
    expectRepeat(await pay(victim, "killed-during"), ["may-have-run"]);
    assert.equal(await runsOfKey(deployment, "killed-during"), 1);

    assert.equal(wholeAnswer(await pay(victim, "killed-after")).status, 200);
    await kill(victim);
    expectRepeat(await pay(second, "killed-after"), ["may-have-run", "ran"]);
    await restartEntry(deployment, victim, VMS);
    assert.equal(await runsOfKey(deployment, "killed-after"), 1);
});

test("an entry frozen while its claim is written does not run what another entry was asked meanwhile", async () => {
    const frozen = await payWithSlowClaim("frozen-before");
    victim.child.process.kill("SIGSTOP");
    await setTableFault(deployment);
    await pause(600);
    expectRepeat(await pay(first, "frozen-before"), ["may-have-run"]);
    victim.child.process.kill("SIGCONT");
    const { status, verdict } = wholeAnswer(await frozen.result);
    assert.ok(status === 200 || verdict === "not-run", `status ${status}, verdict ${verdict}`);
    assert.equal(await runsOfKey(deployment, "frozen-before"), status === 200 ? 1 : 0);
});

test("an entry frozen during the run and resumed gives its caller the answer, and the key runs once", async () => {
    const frozen = pay(victim, "frozen-during", 400);
    await waitForRun("frozen-during");
    victim.child.process.kill("SIGSTOP");
    await pause(800);
    expectRepeat(await pay(first, "frozen-during"), ["may-have-run"]);
    victim.child.process.kill("SIGCONT");
    assert.equal(wholeAnswer(await frozen).status, 200);
    await waitUntilRan(second, "frozen-during");
    assert.equal(await runsOfKey(deployment, "frozen-during"), 1);
});

test("an endpoint that is cut off during a paid request leaves one run and no verdict not-run", async () => {
    const vms = ["cut-1", "cut-2"];
    await setFaults(deployment, vms, { closeWithoutAnswer: true });
    const closed = wholeAnswer(await pay(first, "closed", 0, "cut"));
    assert.deepEqual([closed.status, closed.verdict], [502, "may-have-run"]);

    await setFaults(deployment, vms, { cutBody: true });
    assert.equal((await pay(first, "half-answer", 0, "cut")).kind, "broken");

    await setFaults(deployment, vms);
    const running = pay(first, "down", 5_000, "cut");
    await waitForRun("down");
    await setFaults(deployment, vms, { down: true });
    assert.equal(wholeAnswer(await running).verdict, "may-have-run");
    await setFaults(deployment, vms);

    const keys = ["closed", "half-answer", "down"];
    const repeats = await Promise.all(keys.map(key => pay(second, key, 0, "cut")));
    repeats.forEach(repeat => expectRepeat(repeat, ["may-have-run"]));
    const counts = await Promise.all(keys.map(key => runsOfKey(deployment, key)));
    assert.deepEqual(counts, [1, 1, 1]);
});

test("a paid request that every endpoint refused is not run, and its key can be used again", async () => {
    const vms = ["cut-1", "cut-2"];
    await setFaults(deployment, vms, { refuse: true });
    const refused = wholeAnswer(await pay(first, "refused", 0, "cut"));
    assert.deepEqual([refused.status, refused.verdict], [503, "not-run"]);
    assert.equal(await runsOfKey(deployment, "refused"), 0);
    await setFaults(deployment, vms);
    await pollUntil({
        what: "the released key in use again",
        timeoutMs: LIMIT_MS,
        read: async () => (wholeAnswer(await pay(second, "refused", 0, "cut")).status === 200 ? true : undefined),
    });
    assert.equal(await runsOfKey(deployment, "refused"), 1);
});

test("requests without a key never run twice, whatever the endpoint does", async () => {
    const vms = ["unkeyed-1", "unkeyed-2"];
    const faults = [
        { refuse: true },
        { failFast: true },
        { closeWithoutAnswer: true },
        { closeAfterHead: true },
        { cutBody: true },
        { answerTwice: true },
        { contentLengthError: 10 },
        { down: true },
    ];
    for (const fault of faults) {
        await setFaults(deployment, vms.slice(0, 1), fault);
        await Promise.all(
            Array.from({ length: 12 }, (unused, index) =>
                callEntry(index % 2 === 0 ? first : second, { method: "POST", path: "/unkeyed/pay", body: "{}" }),
            ),
        );
        await setFaults(deployment, vms);
    }
    const { requests } = await readCounts(deployment);
    assert.deepEqual(
        requests.filter(row => row.runs > 1),
        [],
    );
});
