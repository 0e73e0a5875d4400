import { strict as assert } from "node:assert";
import { after, before, test } from "node:test";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { CommittedEdit } from "@almondusher/platform/commit-edit";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { postControl as sendControl } from "../src/operator-client.js";
import { editTables, prepareEdit, readLatest, submitEdit, withTimeout } from "../src/operator-edit.js";
import { bringPlatformUp } from "../src/platform-faults.js";
import { waitForRevision } from "../src/propagation.js";

const RACES = 8;
const FIRST_TIMEOUT_MS = 70_000;

let control: ControlFleet;

before(async () => {
    control = await startControlFleet({
        name: "operators",
        entries: 3,
        services: [
            { name: "letters", vms: 2 },
            { name: "studies", vms: 2 },
        ],
    });
});

after(() => control.stop());

const isCommitted = (result: PromiseSettledResult<CommittedEdit>): result is PromiseFulfilledResult<CommittedEdit> =>
    result.status === "fulfilled";

const refusals = (results: readonly PromiseSettledResult<CommittedEdit>[]): readonly FleetError[] =>
    results
        .flatMap(result => (result.status === "rejected" ? [result.reason as unknown] : []))
        .map(reason => {
            assert.ok(reason instanceof FleetError, String(reason));
            return reason;
        });

test("of two concurrent edits of the same row one is refused as a conflict", async () => {
    for (let race = 0; race < RACES; race += 1) {
        const state = await readLatest(control.platform);
        const edits = [1, 2].map(operator =>
            prepareEdit(
                state,
                withTimeout(control.tables, FIRST_TIMEOUT_MS + race * 10 + operator),
                `operator-${operator}`,
            ),
        );
        const results = await Promise.allSettled(edits.map(edit => submitEdit(control.platform, edit)));
        const [winner, ...others] = results.filter(isCommitted);
        const [refused] = refusals(results);
        assert.ok(winner);
        assert.deepEqual(others, []);
        assert.equal(refused?.code, "edit-conflict");
        assert.match([refused?.message, ...(refused?.details ?? [])].join("\n"), /letters/);
        const after = await readLatest(control.platform);
        const accepted = edits.find(edit => edit.editId === winner.value.record.editId);
        const change = accepted?.changes.find(each => each.table === "routes");
        assert.deepEqual(
            after.routes.rows.find(row => row.name === change?.key),
            change?.after,
        );
    }
});

test("a pool cannot be deleted while a concurrent edit adds a route to it", async () => {
    const tablesWithPool = {
        ...control.tables,
        pools: [...control.tables.pools, { name: "parcels", vms: [], minAvailable: 0 }],
    };
    const route = { name: "parcels", pathPrefix: "/parcels", pool: "parcels", team: "parcels-team" };
    for (let race = 0; race < RACES; race += 1) {
        await editTables(control.platform, tablesWithPool);
        const state = await readLatest(control.platform);
        const results = await Promise.allSettled([
            submitEdit(control.platform, prepareEdit(state, control.tables, "operator-1")),
            submitEdit(
                control.platform,
                prepareEdit(state, { ...tablesWithPool, routes: [...tablesWithPool.routes, route] }, "operator-2"),
            ),
        ]);
        const after = await readLatest(control.platform);
        const [refused] = refusals(results);
        const winners = results.filter(isCommitted);
        assert.equal(winners.length, 1);
        assert.ok(refused?.code === "invalid-edit" || refused?.code === "edit-conflict", refused?.code);
        assert.match([refused.message, ...refused.details].join("\n"), /parcels/);
        const hasPool = after.pools.rows.some(row => String(row.name) === "parcels");
        const hasRoute = after.routes.rows.some(row => String(row.name) === "parcels");
        assert.equal(hasRoute, hasPool, "the state has only one of the route and its pool");
        await waitForRevision(control.deployment, winners[0]?.value.state.revision ?? 0);
    }
});

test("an edit whose response was lost is applied once when it is retried", async () => {
    const state = await readLatest(control.platform);
    const edit = prepareEdit(state, withTimeout(control.tables, FIRST_TIMEOUT_MS - 1));
    const url = `${control.deployment.platformControlUrl}/control`;
    await sendControl(url, { table: { loseAnswers: { kind: "every", nth: 1 } } });
    const outcome = await submitEdit(control.platform, edit).catch((error: unknown) => error);
    await bringPlatformUp(control.deployment);
    const again = await submitEdit(control.platform, edit);
    assert.equal(again.alreadyAccepted, true);
    if (!(outcome instanceof Error)) {
        assert.equal((outcome as CommittedEdit).record.revision, again.record.revision);
    }
    const once = await submitEdit(control.platform, edit);
    assert.equal(once.record.revision, again.record.revision);
    await waitForRevision(control.deployment, again.record.revision);
});
