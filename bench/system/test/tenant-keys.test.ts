import assert from "node:assert/strict";
import test from "node:test";
import {
    JOB_PREFIX,
    JOB_ROUTE,
    jobConfiguration,
    jobId,
    jobOfTasks,
    sendRequest,
    startJobDeployment,
    waitUntil,
    type DeployedDispatcher,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
// Time within which a new version of the configuration has to take effect everywhere.
const ADOPTION_TIMEOUT_MS = 3000;

const PUBLIC_PREFIX = "/open/";
const ROUTES = [JOB_ROUTE, { ...JOB_ROUTE, name: "open", prefix: PUBLIC_PREFIX, public: true }];
const GREEN = { name: "green", api_keys: ["key-green", "key-withdrawn"], weight: 3 };
const BLUE = { name: "blue", api_keys: ["key-blue"] };

const withTenants = (version: number, tenants: readonly object[]): object =>
    jobConfiguration({ version, routes: ROUTES, tenants });

const startTenantDeployment = (): Promise<JobDeployment> =>
    startJobDeployment({
        dispatchers: 2,
        executors: 1,
        runMs: () => 100,
        configuration: withTenants(1, [GREEN, BLUE]),
    });

const headersOf = (key: string | undefined): Record<string, string> => (key === undefined ? {} : { credential: key });

/** Status of each kind of call: submission, state, cancellation and pending count. */
const statusOfCalls = async (
    dispatcher: DeployedDispatcher,
    key: string | undefined,
    { job, prefix = JOB_PREFIX }: { readonly job: string; readonly prefix?: string },
): Promise<readonly number[]> => {
    const headers = headersOf(key);
    const statuses: number[] = [];
    for (const [method, path] of [
        ["POST", prefix + job],
        ["GET", prefix + job],
        ["DELETE", prefix + job],
        ["GET", prefix],
    ] as const) {
        const body = method === "POST" ? jobOfTasks(1) : undefined;
        statuses.push((await sendRequest(dispatcher, { method, path, headers, body })).status);
    }
    return statuses;
};

const ACCEPTED = [200, 200, 200, 200];
const UNAUTHORIZED = [401, 401, 401, 401];

const TABLE_GROUPS = 40;

/** Tenants of the jobs that are stored, by id. */
const storedTenants = ({ store }: JobDeployment): ReadonlyMap<string, string | undefined> =>
    new Map(
        Array.from({ length: TABLE_GROUPS }, (unused, group) => store.rows(`jobs-${group}`))
            .flat()
            .map(({ key, value }) => [key, (value as { readonly job?: { readonly tenant?: string } }).job?.tenant]),
    );

const submit = async (dispatcher: DeployedDispatcher, key: string | undefined, path: string): Promise<number> => {
    const body = jobOfTasks(1);
    return (await sendRequest(dispatcher, { method: "POST", path, headers: headersOf(key), body })).status;
};

const waitForPending = ({ dispatchers }: JobDeployment): Promise<void> =>
    waitUntil("a pending count at all dispatchers", START_TIMEOUT_MS, async () => {
        const request = { method: "GET", path: JOB_PREFIX, headers: headersOf("key-blue") } as const;
        const answers = await Promise.all(dispatchers.map(dispatcher => sendRequest(dispatcher, request)));
        return answers.every(({ status }) => status === 200);
    });

test("each call needs a key of a tenant, which is stored with the job, unless its queue is public", async context => {
    const deployment = await startTenantDeployment();
    context.after(deployment.close);
    await waitForPending(deployment);
    const [entry, other] = deployment.dispatchers;
    assert.ok(entry !== undefined && other !== undefined);
    assert.deepEqual(await statusOfCalls(entry, "key-green", { job: jobId(1) }), ACCEPTED);
    assert.deepEqual(await statusOfCalls(other, "key-blue", { job: jobId(2) }), ACCEPTED);
    for (const key of ["key-of-nobody", "KEY-GREEN", "key-green,key-blue", "Bearer key-green", undefined]) {
        assert.deepEqual(await statusOfCalls(entry, key, { job: jobId(3) }), UNAUTHORIZED, key);
    }
    assert.deepEqual(await statusOfCalls(entry, undefined, { job: jobId(4), prefix: PUBLIC_PREFIX }), ACCEPTED);
    assert.deepEqual(await statusOfCalls(entry, "key-of-nobody", { job: jobId(5), prefix: PUBLIC_PREFIX }), ACCEPTED);
    assert.ok([...storedTenants(deployment).keys()].every(key => !key.startsWith(jobId(3))));
    assert.equal(await submit(entry, "key-green", JOB_PREFIX + jobId(11)), 200);
    assert.equal(await submit(other, "key-blue", JOB_PREFIX + jobId(11)), 200, "a repeated id stays one job");
    assert.equal(await submit(other, "key-blue", JOB_PREFIX + jobId(12)), 200);
    assert.equal(await submit(entry, undefined, PUBLIC_PREFIX + jobId(13)), 200);
    const tenants = storedTenants(deployment);
    assert.deepEqual(
        [11, 12, 13].map(number => [tenants.has(jobId(number)), tenants.get(jobId(number))]),
        [
            [true, "green"],
            [true, "blue"],
            [true, undefined],
        ],
    );
});

test("a key that a new version takes away is rejected by all processes, also after a restart, and a new one accepted", async context => {
    const deployment = await startTenantDeployment();
    context.after(deployment.close);
    await waitForPending(deployment);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    assert.deepEqual(await statusOfCalls(entry, "key-withdrawn", { job: jobId(1) }), ACCEPTED);
    assert.deepEqual(await statusOfCalls(entry, "key-added", { job: jobId(2) }), UNAUTHORIZED);
    deployment.store.put("op", "config", withTenants(7, [{ ...GREEN, api_keys: ["key-green", "key-added"] }, BLUE]));
    const read = (key: string) => ({ method: "GET", path: JOB_PREFIX + jobId(1), headers: headersOf(key) }) as const;
    await Promise.all(
        deployment.dispatchers.map(dispatcher =>
            waitUntil(
                "the new version",
                ADOPTION_TIMEOUT_MS,
                async () => (await sendRequest(dispatcher, read("key-withdrawn"))).status === 401,
            ),
        ),
    );
    entry.process.kill("SIGKILL");
    await entry.ended;
    const restarted = await deployment.startDispatcher(entry.vm);
    for (const dispatcher of [restarted, ...deployment.dispatchers.slice(1, 2)]) {
        assert.deepEqual(await statusOfCalls(dispatcher, "key-withdrawn", { job: jobId(3) }), UNAUTHORIZED);
        assert.deepEqual(await statusOfCalls(dispatcher, "key-added", { job: jobId(4) }), ACCEPTED);
    }
    const logged = deployment.dispatchers.flatMap(({ log }) => log);
    assert.ok(
        logged.some(
            ({ event, tenant, configuration }) =>
                event === "request-answered" && tenant === "green" && configuration === 7,
        ),
    );
    assert.ok(
        logged.some(
            ({ event, cause, configuration }) =>
                event === "request-rejected" && cause === "unknown-key" && configuration === 7,
        ),
    );
    assert.doesNotMatch(JSON.stringify(logged), /key-(green|blue|withdrawn|added)/);
});

test("an entry of a tenant that cannot be read keeps no key from working and none withdrawn", async context => {
    const deployment = await startTenantDeployment();
    context.after(deployment.close);
    await waitForPending(deployment);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    deployment.store.put("op", "config", withTenants(2, [BLUE, { ...GREEN, weight: -1 }, { name: "", api_keys: 5 }]));
    await waitUntil("the new version", ADOPTION_TIMEOUT_MS, () =>
        entry.log.some(({ event, version }) => event === "configuration-adopted" && version === 2),
    );
    assert.deepEqual(await statusOfCalls(entry, "key-blue", { job: jobId(1) }), ACCEPTED);
    assert.deepEqual(await statusOfCalls(entry, "key-green", { job: jobId(2) }), UNAUTHORIZED);
    assert.deepEqual(
        entry.log.filter(({ event }) => event === "tenant-skipped").map(({ index }) => index),
        [1, 2],
    );
});
