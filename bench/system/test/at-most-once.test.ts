import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallResult, callEntry, requireResponse } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { readCounts, runsOfKey, setFaults } from "../src/endpoint-control.js";
import { restartEntry, startFailureFleet, waitForServing } from "../src/failure-fleet.js";
import { pollUntil } from "../src/operator-client.js";
import { readPutCount, setTableFault } from "../src/platform-control.js";

const WAIT_TIMEOUT_MS = 10_000;
const SERVICES = ["orders", "cut", "unkeyed"];
const VMS_PER_SERVICE = 2;
const VMS = SERVICES.length * VMS_PER_SERVICE;

let deployment: Deployment;
let first: DeployedEntry;
let second: DeployedEntry;
let faultyEntry: DeployedEntry;

before(async () => {
    deployment = await startFailureFleet({ services: SERVICES, vmsPerService: VMS_PER_SERVICE, entries: 3 });
    [first, second, faultyEntry] = deployment.entries as [DeployedEntry, DeployedEntry, DeployedEntry];
});
after(() => (deployment as Deployment | undefined)?.stop());

/** Sends a POST with an idempotency key; `workMs` is its run time on the endpoint. */
const post = (entry: DeployedEntry, key: string, workMs = 0, service = "orders"): Promise<CallResult> =>
    callEntry(entry, {
        method: "POST",
        path: `/${service}/pay`,
        headers: { "idempotency-key": key, "x-work-ms": String(workMs) },
        body: "{}",
    });

const assertRepeatRejected = (result: CallResult, verdicts: readonly string[]): void => {
    const { status, verdict, cause } = requireResponse(result);
    assert.equal(status, 409, `status ${status}, cause ${cause}, verdict ${verdict}`);
    assert.ok(verdicts.includes(verdict ?? ""), `verdict ${verdict}`);
};

const waitForRun = (key: string): Promise<true> =>
    pollUntil({
        what: `a run of key ${key}`,
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => ((await runsOfKey(deployment, key)) > 0 ? true : undefined),
    });

// The outcome of a claim is written after the response, so a repeat may first get verdict may-have-run.
const waitForVerdictRan = (entry: DeployedEntry, key: string): Promise<true> =>
    pollUntil({
        what: `verdict ran for key ${key}`,
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => {
            const result = await post(entry, key);
            assertRepeatRejected(result, ["ran", "may-have-run"]);
            return requireResponse(result).verdict === "ran" ? true : undefined;
        },
    });

/** Sends a request with a key while table writes are delayed; resolves once its claim has been sent. */
const postWithSlowClaim = async (key: string): Promise<{ result: Promise<CallResult> }> => {
    await waitForServing(deployment, faultyEntry, VMS);
    await setTableFault(deployment, { delayWritesMs: 400 });
    const known = await readPutCount(deployment);
    const result = post(faultyEntry, key);
    await pollUntil({
        what: `the claim write of key ${key}`,
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => ((await readPutCount(deployment)) > known ? true : undefined),
    });
    return { result };
};

const killEntry = async (entry: DeployedEntry): Promise<void> => {
    entry.child.process.kill("SIGKILL");
    await entry.child.exited;
};

test("a request repeated with the same key through another entry during or after the first run does not run again", async () => {
    const running = post(first, "repeat-1", 800);
    await waitForRun("repeat-1");
    assertRepeatRejected(await post(second, "repeat-1"), ["may-have-run"]);
    assert.equal(requireResponse(await running).status, 200);
    await waitForVerdictRan(second, "repeat-1");
    await waitForVerdictRan(first, "repeat-1");
    assert.equal(await runsOfKey(deployment, "repeat-1"), 1);
});

test("a request sent with the same key to all entries concurrently runs once", async () => {
    const keys = Array.from({ length: 20 }, (unused, index) => `race-${index}`);
    const results = await Promise.all(
        keys.map(async key =>
            (await Promise.all(deployment.entries.map(entry => post(entry, key, 50)))).map(requireResponse),
        ),
    );
    results.forEach(responses => {
        assert.deepEqual(responses.map(response => response.status).sort(), [200, 409, 409]);
    });
    const { keys: rows } = await readCounts(deployment);
    keys.forEach(key => assert.equal(rows.find(row => row.id === key)?.runs, 1));
});

test("a keyed request does not run twice when its entry is killed during the claim write, during the run or after the response", async () => {
    const beforeSend = await postWithSlowClaim("killed-before");
    await killEntry(faultyEntry);
    await setTableFault(deployment);
    assert.equal((await beforeSend.result).kind, "broken");
    await restartEntry(deployment, faultyEntry, VMS);
    assertRepeatRejected(await post(first, "killed-before"), ["may-have-run"]);
    assert.equal(await runsOfKey(deployment, "killed-before"), 0);

    const duringRun = post(faultyEntry, "killed-during", 1_000);
    await waitForRun("killed-during");
    await killEntry(faultyEntry);
    assert.equal((await duringRun).kind, "broken");
    assertRepeatRejected(await post(first, "killed-during"), ["may-have-run"]);
    await restartEntry(deployment, faultyEntry, VMS);
    assertRepeatRejected(await post(faultyEntry, "killed-during"), ["may-have-run"]);
    assert.equal(await runsOfKey(deployment, "killed-during"), 1);

    assert.equal(requireResponse(await post(faultyEntry, "killed-after")).status, 200);
    await killEntry(faultyEntry);
    assertRepeatRejected(await post(second, "killed-after"), ["may-have-run", "ran"]);
    await restartEntry(deployment, faultyEntry, VMS);
    assert.equal(await runsOfKey(deployment, "killed-after"), 1);
});

test("a request whose entry is paused during its claim write runs at most once if its key is repeated through another entry", async () => {
    const paused = await postWithSlowClaim("frozen-before");
    faultyEntry.child.process.kill("SIGSTOP");
    await setTableFault(deployment);
    await sleep(600);
    assertRepeatRejected(await post(first, "frozen-before"), ["may-have-run"]);
    faultyEntry.child.process.kill("SIGCONT");
    const { status, verdict } = requireResponse(await paused.result);
    assert.ok(status === 200 || verdict === "not-run", `status ${status}, verdict ${verdict}`);
    assert.equal(await runsOfKey(deployment, "frozen-before"), status === 200 ? 1 : 0);
});

test("an entry paused during the run returns the response after it resumes, and the keyed request runs once", async () => {
    // The test before may have failed with its fault in place.
    await setTableFault(deployment);
    await waitForServing(deployment, faultyEntry, VMS);
    const paused = post(faultyEntry, "frozen-during", 400);
    await waitForRun("frozen-during");
    faultyEntry.child.process.kill("SIGSTOP");
    await sleep(800);
    assertRepeatRejected(await post(first, "frozen-during"), ["may-have-run"]);
    faultyEntry.child.process.kill("SIGCONT");
    assert.equal(requireResponse(await paused).status, 200);
    await waitForVerdictRan(second, "frozen-during");
    assert.equal(await runsOfKey(deployment, "frozen-during"), 1);
});

test("a keyed request whose endpoint connection fails has run once and never gets verdict not-run", async () => {
    const vms = ["cut-1", "cut-2"];
    await setFaults(deployment, vms, { closeWithoutAnswer: true });
    const closed = requireResponse(await post(first, "closed", 0, "cut"));
    assert.deepEqual([closed.status, closed.verdict], [502, "may-have-run"]);

    await setFaults(deployment, vms, { cutBody: true });
    assert.equal((await post(first, "half-answer", 0, "cut")).kind, "broken");

    await setFaults(deployment, vms);
    const running = post(first, "down", 5_000, "cut");
    await waitForRun("down");
    await setFaults(deployment, vms, { down: true });
    assert.equal(requireResponse(await running).verdict, "may-have-run");
    await setFaults(deployment, vms);

    const keys = ["closed", "half-answer", "down"];
    const repeats = await Promise.all(keys.map(key => post(second, key, 0, "cut")));
    repeats.forEach(repeat => assertRepeatRejected(repeat, ["may-have-run"]));
    const counts = await Promise.all(keys.map(key => runsOfKey(deployment, key)));
    assert.deepEqual(counts, [1, 1, 1]);
});

test("a keyed request that every endpoint refused has not run, and its key can be reused", async () => {
    const vms = ["cut-1", "cut-2"];
    await setFaults(deployment, vms, { refuse: true });
    const refused = requireResponse(await post(first, "refused", 0, "cut"));
    assert.deepEqual([refused.status, refused.verdict], [503, "not-run"]);
    assert.equal(await runsOfKey(deployment, "refused"), 0);
    await setFaults(deployment, vms);
    await pollUntil({
        what: "a successful request with the released key",
        timeoutMs: WAIT_TIMEOUT_MS,
        read: async () => (requireResponse(await post(second, "refused", 0, "cut")).status === 200 ? true : undefined),
    });
    assert.equal(await runsOfKey(deployment, "refused"), 1);
});

test("non-idempotent requests without a key never run twice under any endpoint fault", async () => {
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
