import assert from "node:assert/strict";
import { test } from "node:test";
import { type RequestId, toId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import {
    backlogBefore,
    backlogOf,
    createDeadlineQueue,
    firstRequest,
    pushRequest,
    removeRequest,
    type QueueItem,
} from "../src/deadline-queue.js";

const SEED = 20261207;

const queueItemOf = (startBy: number, sequence: number): QueueItem => ({
    id: toId<RequestId>(String(sequence)),
    arrivedAt: 0,
    startBy,
    runMs: startBy + 1,
    isShort: true,
    sequence,
});

test("the queue matches a sorted list after any insertions and removals", () => {
    fc.assert(
        fc.property(fc.array(fc.record({ startBy: fc.nat(20), isRemoval: fc.boolean(), pick: fc.nat() })), steps => {
            const queue = createDeadlineQueue();
            let list: readonly QueueItem[] = [];
            steps.forEach(({ startBy, isRemoval, pick }, sequence) => {
                const selected = list[pick % Math.max(1, list.length)];
                if (isRemoval && selected !== undefined) {
                    assert.ok(removeRequest(queue, selected));
                    assert.ok(!removeRequest(queue, selected));
                    list = list.filter(request => request !== selected);
                } else {
                    pushRequest(queue, queueItemOf(startBy, sequence));
                    list = [...list, queueItemOf(startBy, sequence)].toSorted(
                        (left, right) => left.startBy - right.startBy || left.sequence - right.sequence,
                    );
                }
                const before = list.filter(request => request.startBy <= startBy);
                assert.deepEqual(firstRequest(queue), list[0]);
                assert.equal(backlogOf(queue).count, list.length);
                assert.equal(backlogBefore(queue, startBy).count, before.length);
                assert.equal(
                    backlogBefore(queue, startBy).runMs,
                    before.reduce((sum, request) => sum + request.runMs, 0),
                );
            });
        }),
        { seed: SEED },
    );
});
