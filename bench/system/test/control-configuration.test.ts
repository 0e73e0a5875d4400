import { strict as assert } from "node:assert";
import { after, before, test } from "node:test";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { editTables, withTimeout } from "../src/operator-edit.js";
import { bringPlatformUp, type PlatformLink, relayPlatformTraffic, takePlatformDown } from "../src/platform-faults.js";
import { replaceEntry } from "../src/process-faults.js";
import { revisionOf, waitForFirstEntry, waitForRevision } from "../src/propagation.js";
import { type RevisionWatch, watchRevisions } from "../src/revision-watch.js";

const OUTAGE_MS = 3000;
const ENTRIES_TO_REPLACE = 3;

let control: ControlFleet;
let watch: RevisionWatch;
let link: PlatformLink;
let timeoutMs = 60_000;

/** Commits an edit that differs from all earlier ones and returns its revision. */
const edit = async (): Promise<number> => {
    timeoutMs += 1;
    const { state } = await editTables(control.platform, withTimeout(control.tables, timeoutMs));
    return state.revision;
};

const entryAt = (index: number) => {
    const entry = control.deployment.entries[index];
    assert.ok(entry);
    return entry;
};

before(async () => {
    control = await startControlFleet({
        name: "configuration",
        entries: 4,
        services: [{ name: "letters", vms: 3 }],
    });
    link = await relayPlatformTraffic(control.deployment, entryAt(3));
    watch = watchRevisions(control.deployment);
});

after(async () => {
    await link.disconnect();
    await control.stop();
});

test("every entry adopts an accepted edit within the propagation time", async () => {
    const revision = await edit();
    await waitForRevision(control.deployment, revision);
    watch.requireRevision(revision);
});

test("an entry disconnected from the platform gets new configurations from its peers", async () => {
    await link.disconnect();
    const revision = await edit();
    await waitForRevision(control.deployment, revision, [entryAt(3)]);
    await waitForRevision(control.deployment, revision);
    watch.requireRevision(revision);
    await link.reconnect();
});

test("an edit that only some entries read before a platform outage reaches the others through peers", async () => {
    const revision = await edit();
    await waitForFirstEntry(control.deployment, revision);
    await takePlatformDown(control.deployment);
    try {
        await waitForRevision(control.deployment, revision);
        watch.requireRevision(revision);
    } finally {
        await bringPlatformUp(control.deployment);
    }
});

test("an edit accepted just before a platform outage is adopted by all entries or by none, and is not lost", async () => {
    const revision = await edit();
    await takePlatformDown(control.deployment);
    try {
        await new Promise(resolve => setTimeout(resolve, OUTAGE_MS));
        const revisions = await Promise.all(
            control.deployment.entries.map(entry => revisionOf(control.deployment, entry)),
        );
        assert.equal(new Set(revisions).size, 1, `entries use revisions ${revisions.join(", ")}`);
    } finally {
        await bringPlatformUp(control.deployment);
    }
    await waitForRevision(control.deployment, revision);
    watch.requireRevision(revision);
});

test("a restarted entry does not become ready with an outdated configuration", async () => {
    for (let turn = 0; turn < ENTRIES_TO_REPLACE; turn += 1) {
        const replaced = replaceEntry(control.deployment, entryAt(turn), "SIGKILL");
        const revision = await edit();
        await replaced;
        await waitForRevision(control.deployment, revision);
        watch.requireRevision(revision);
    }
});

test("no process reverts to an older revision", async () => {
    const faults = await watch.stop();
    assert.deepEqual(faults, []);
    assert.ok(watch.samples() > 0);
});
