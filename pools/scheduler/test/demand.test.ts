import assert from "node:assert/strict";
import test from "node:test";
import { createDemandHistory, estimateDemand, recordArrival } from "@almondusher/scheduler/demand";
import { addJob, createPool, place, record, step } from "./fixture.js";

test("the demand of a pool without executors is undefined, since the capacity of its VMs is unknown", () => {
    const tables = createPool({ executors: [], jobs: [{ id: "j1", steps: [step({ count: 9 })] }] });
    assert.equal(estimateDemand(tables, createDemandHistory(), 0), undefined);
});

test("a burst of arrivals raises the demand at once, and a pause lowers the wanted VMs only after a while", () => {
    const tables = createPool({ executors: [record("a"), record("b")] });
    const history = createDemandHistory();
    Array.from({ length: 20 }, (unused, index) => `j${index}`).forEach(id => {
        addJob(tables, { id, steps: [step({ count: 2 })] });
        const job = tables.jobs.get(id as never);
        assert.ok(job !== undefined);
        recordArrival(tables, history, job, 0);
    });
    const burst = estimateDemand(tables, history, 10);
    assert.ok(burst !== undefined && burst.neededVms >= 6, JSON.stringify(burst));
    tables.jobs.clear();
    const paused = estimateDemand(tables, history, 2000);
    assert.equal(paused?.neededVms, 2);
    assert.equal(paused?.wantedVms, burst.wantedVms);
    assert.equal(estimateDemand(tables, history, 3000)?.wantedVms, 2);
});

test("VMs with long-running tasks are not removable, and the VM with the fewest runs comes first", () => {
    const tables = createPool({
        executors: [record("a"), record("b"), record("c")],
        jobs: [{ id: "j1", steps: [step({ longRunning: true })] }],
    });
    const longRunning = place(tables)[0];
    addJob(tables, { id: "j2", steps: [step({ demand: { cpu: 3500, memoryMb: 1, gpu: 0 } })] });
    const short = place(tables)[0];
    const { removable } = estimateDemand(tables, createDemandHistory(), 0) ?? { removable: [] };
    assert.equal(removable.length, 2);
    assert.equal(removable.includes(longRunning?.executor.record.vm as never), false);
    assert.equal(removable[1], short?.executor.record.vm);
});

test("a VM whose long task writes no checkpoints is listed as losing work and comes last among the removable ones", () => {
    const tables = createPool({
        executors: [record("a"), record("b"), record("c")],
        jobs: [{ id: "j1", steps: [step({ estimateMs: 9000 })] }],
    });
    const long = place(tables, 0)[0];
    addJob(tables, { id: "j2", steps: [step({ count: 3, demand: { cpu: 3500, memoryMb: 1, gpu: 0 } })] });
    place(tables, 0);
    const demandAt = (nowMs: number) => estimateDemand(tables, createDemandHistory(), nowMs);
    assert.deepEqual(demandAt(100)?.losing, [], "the task has only just started");
    assert.deepEqual(demandAt(5000)?.losing, [long?.executor.record.vm]);
    assert.equal(demandAt(5000)?.removable.at(-1), long?.executor.record.vm);
    assert.ok(long !== undefined);
    long.percent = 80;
    assert.deepEqual(demandAt(7200)?.losing, [], "the task ends during the evacuation");
});

// The demand is all that brings VMs from the spare pool.
test("a pool needs VMs for the memory of its long-running tasks, not only for their CPU", () => {
    const large = step({ count: 6, longRunning: true, demand: { cpu: 100, memoryMb: 3000, gpu: 0 } });
    const tables = createPool({ executors: [record("a"), record("b")], jobs: [{ id: "j1", steps: [large] }] });
    place(tables);
    const demand = estimateDemand(tables, createDemandHistory(), 0);
    assert.ok(demand !== undefined && demand.neededVms >= 6, `each VM has memory for one of 6: ${demand?.neededVms}`);
});
