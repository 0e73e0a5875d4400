import assert from "node:assert/strict";
import { test } from "node:test";
import type { VmId } from "@almondusher/fleet/ids";
import { createFleetEvacuations } from "../src/fleet/fleet-evacuations.js";
import { emptyLeaseContent, type LeaseRecord } from "../src/leases/lease-rows.js";

const ORDERED = "vm-ordered" as VmId;
const REQUESTED = "vm-requested" as VmId;
// Longer than an unanswered order may take to be carried out.
const LATE_ORDER_MS = 60_000;

const predecessor: LeaseRecord = {
    ...emptyLeaseContent,
    holder: "entry-1" as VmId,
    process: undefined,
    epoch: 3,
    runNumbersUpTo: undefined,
    evacuations: [
        { vm: ORDERED, id: "3-1", byMs: 500, ordered: true, orderedUntilMs: undefined },
        { vm: REQUESTED, id: "3-2", byMs: 600, ordered: false, orderedUntilMs: undefined },
    ],
};

test("evacuations of the previous fleet manager are kept and stored again under their ids", () => {
    const evacuations = createFleetEvacuations({
        context: { monotonicMs: () => 0, store: { nowMs: () => 1000 } },
        lease: { epoch: 4, predecessor },
    });
    assert.deepEqual(
        evacuations.stored().map(evacuation => ({ ...evacuation, orderedUntilMs: undefined })),
        predecessor.evacuations,
    );
    const { id } = evacuations.add("vm-new" as VmId, "move");
    assert.equal(id, "4-1");
    assert.equal(evacuations.stored().length, 3);
});

test("a VM that an inherited order may still reach counts as such until it is released or a list shows what the order has done", () => {
    const evacuations = createFleetEvacuations({
        context: { monotonicMs: () => 0, store: { nowMs: () => 1000 } },
        lease: { epoch: 4, predecessor },
    });
    assert.deepEqual(evacuations.withPendingInheritedOrder(0), [ORDERED]);
    assert.deepEqual(evacuations.withPendingInheritedOrder(LATE_ORDER_MS), []);
    assert.equal(evacuations.remove(ORDERED), true);
    assert.deepEqual(evacuations.withPendingInheritedOrder(0), []);
    assert.equal(evacuations.remove(ORDERED), false);
});

test("an evacuation has time until its tasks that can continue elsewhere must have left", () => {
    let nowMs = 500;
    const evacuations = createFleetEvacuations({
        context: { monotonicMs: () => 0, store: { nowMs: () => nowMs } },
        lease: { epoch: 4, predecessor },
    });
    assert.deepEqual(evacuations.withTimeToEmpty(), [REQUESTED]);
    const added = "vm-new" as VmId;
    evacuations.add(added, "maintenance");
    nowMs = 1000;
    assert.deepEqual(evacuations.withTimeToEmpty(), [added]);
    nowMs = LATE_ORDER_MS;
    assert.deepEqual(evacuations.withTimeToEmpty(), []);
});

// With each change of the fleet manager the VMs stayed without tasks for the whole time again, beside tasks that waited.
test("a VM waits for the order of a former fleet manager once, however often the fleet manager changes", () => {
    const TENURE_MS = 10_000;
    let nowMs = 0;
    const takeOver = (record: LeaseRecord): ReturnType<typeof createFleetEvacuations> =>
        createFleetEvacuations({
            context: { monotonicMs: () => nowMs, store: { nowMs: () => 1000 + nowMs } },
            lease: { epoch: record.epoch + 1, predecessor: record },
        });
    const second = takeOver(predecessor);
    nowMs += TENURE_MS;
    assert.deepEqual(second.withPendingInheritedOrder(nowMs), [ORDERED]);
    const third = takeOver({ ...predecessor, epoch: 4, evacuations: second.stored() });
    assert.deepEqual(third.withPendingInheritedOrder(nowMs), [ORDERED]);
    nowMs += TENURE_MS;
    assert.deepEqual(third.withPendingInheritedOrder(nowMs), [], "20 s after the first takeover");
    const evacuation = third.entries.get(ORDERED);
    assert.ok(evacuation !== undefined);
    third.markOrdered(evacuation);
    const fourth = takeOver({ ...predecessor, epoch: 5, evacuations: third.stored() });
    nowMs += TENURE_MS;
    assert.deepEqual(fourth.withPendingInheritedOrder(nowMs), [ORDERED], "the third one may have sent an order");
});
