import { strict as assert } from "node:assert";
import { after, before, test } from "node:test";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { editTables, withTimeout } from "../src/operator-edit.js";
import { bringPlatformUp, type PlatformPath, relayPlatform, takePlatformDown } from "../src/platform-faults.js";
import { replaceEntry } from "../src/process-faults.js";
import { revisionOf, waitForFirst, waitInForce } from "../src/propagation.js";
import { type RevisionWatch, watchRevisions } from "../src/revision-watch.js";

const PEERS_ONLY_MS = 3000;
const REPLACED_ENTRIES = 3;

let control: ControlFleet;
let watch: RevisionWatch;
let path: PlatformPath;
let timeoutMs = 60_000;

/** Submits an edit that differs from every earlier one. */
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
    path = await relayPlatform(control.deployment, entryAt(3));
    watch = watchRevisions(control.deployment);
});

after(async () => {
    await path.cut();
    await control.stop();
});

test("an accepted edit that does not reach every entry in time leaves the fleet with two configurations", async () => {
    const revision = await edit();
    await waitInForce(control.deployment, revision);
    watch.requireFrom(revision);
});

test("an entry cut off from the platform would stay on an old configuration if peers did not pass it on", async () => {
    await path.cut();
    const revision = await edit();
    await waitInForce(control.deployment, revision, [entryAt(3)]);
    await waitInForce(control.deployment, revision);
    watch.requireFrom(revision);
    await path.restore();
});

test("an edit that only one entry saw before the platform failed must reach the others through it", async () => {
    const revision = await edit();
    await waitForFirst(control.deployment, revision);
    await takePlatformDown(control.deployment);
    try {
        await waitInForce(control.deployment, revision);
        watch.requireFrom(revision);
    } finally {
        await bringPlatformUp(control.deployment);
    }
});

test("an edit accepted just before the platform failed is in force in all entries or in none, and is not lost", async () => {
    const revision = await edit();
    await takePlatformDown(control.deployment);
    try {
        await new Promise(resolve => setTimeout(resolve, PEERS_ONLY_MS));
        const revisions = await Promise.all(
            control.deployment.entries.map(entry => revisionOf(control.deployment, entry)),
        );
        assert.equal(new Set(revisions).size, 1, `entries use revisions ${revisions.join(", ")}`);
    } finally {
        await bringPlatformUp(control.deployment);
    }
    await waitInForce(control.deployment, revision);
    watch.requireFrom(revision);
});

test("an entry that replaces a killed one must not become ready with a configuration older than the one in force", async () => {
    for (let turn = 0; turn < REPLACED_ENTRIES; turn += 1) {
        const replaced = replaceEntry(control.deployment, entryAt(turn), "SIGKILL");
        const revision = await edit();
        await replaced;
        await waitInForce(control.deployment, revision);
        watch.requireFrom(revision);
    }
});

test("a process whose revision goes back would serve under a configuration that was replaced", async () => {
    const faults = await watch.stop();
    assert.deepEqual(faults, []);
    assert.ok(watch.samples() > 0);
});
