import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { startStoreStandIn } from "@almondusher/job-platform-stand-in/store";
import { createTableStore, type TableStore } from "@almondusher/platform-adapter/table-store";
import { createCandidateView, type CandidateView } from "../src/leases/candidate-view.js";
import { LEASE_TABLE } from "../src/leases/lease-rows.js";
import type { CandidateContent } from "../src/leases/candidate-rows.js";

const content: CandidateContent = { capacity: { processorCores: 1.35, linkMbps: 140 }, request: undefined };
const vmA = toId<VmId>("vm-a");
const vmB = toId<VmId>("vm-b");

const startStore = async (context: TestContext): Promise<TableStore> => {
    const platform = await startStoreStandIn();
    context.after(platform.close);
    return createTableStore({ address: platform.address, monotonicMs: () => performance.now() });
};

const followAll = async (store: TableStore, view: CandidateView): Promise<void> => {
    const reading = await store.changes({ table: LEASE_TABLE, after: 0, waitMs: 0 });
    assert.equal(reading.kind, "rows");
    view.observe(reading.kind === "rows" ? reading.rows : []);
};

const vmsIn = (view: CandidateView): readonly VmId[] => view.all().map(({ vm }) => vm);

test("a restarted process writes nothing if its row is already stored, and reads those of the others", async context => {
    const store = await startStore(context);
    const first = createCandidateView(store);
    assert.ok(await first.announce(vmA, content), "the first announcement");
    assert.ok(await first.announce(vmB, content), "another VM");
    const second = createCandidateView(store);
    assert.ok(await second.load(), "the rows are read");
    assert.deepEqual(vmsIn(second), [vmA, vmB]);
    assert.deepEqual(second.all()[0]?.capacity, content.capacity);
    const { writes } = store.calls;
    assert.equal(await second.announce(vmA, content), false);
    assert.equal(store.calls.writes, writes);
    assert.ok(
        await second.announce(vmA, { ...content, capacity: { processorCores: 1.35, linkMbps: 7 } }),
        "a changed capacity",
    );
});

test("a live VM whose row another process removed is known again after its next announcement", async context => {
    const store = await startStore(context);
    const owner = createCandidateView(store);
    await owner.announce(vmA, content);
    const other = createCandidateView(store);
    await other.load();
    await other.remove([vmA]);
    assert.deepEqual(vmsIn(other), []);
    await followAll(store, owner);
    assert.deepEqual(vmsIn(owner), []);
    assert.ok(await owner.announce(vmA, content), "the row is written again");
    await followAll(store, other);
    assert.deepEqual(vmsIn(other), [vmA]);
});

test("a row that was written again is not removed by a process that has read the earlier one", async context => {
    const store = await startStore(context);
    const owner = createCandidateView(store);
    const late = createCandidateView(store);
    await owner.announce(vmA, content);
    await late.load();
    await owner.remove([vmA]);
    await owner.announce(vmA, content);
    await late.remove([vmA]);
    const reader = createCandidateView(store);
    await reader.load();
    assert.deepEqual(vmsIn(reader), [vmA]);
});

test("rows removed while the history was lost are no candidates after the next load", async context => {
    const store = await startStore(context);
    const view = createCandidateView(store);
    await view.announce(vmA, content);
    await view.load();
    const other = createCandidateView(store);
    await other.load();
    await other.remove([vmA]);
    view.invalidate();
    await view.load();
    assert.deepEqual(vmsIn(view), []);
});

// Leases are polled while the rows of candidates are still being read.
test("a change that is observed while the rows are read is not lost to an earlier state of them", async context => {
    const store = await startStore(context);
    await createCandidateView(store).announce(vmA, content);
    const view = createCandidateView({
        transact: store.transact,
        read: async range => {
            const reading = await store.read(range);
            await createCandidateView(store).announce(vmB, content);
            await followAll(store, view);
            return reading;
        },
    });
    assert.ok(await view.load(), "the rows are read");
    assert.deepEqual(vmsIn(view).toSorted(), [vmA, vmB]);
});
