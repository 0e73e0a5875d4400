import assert from "node:assert/strict";
import test from "node:test";
import {
    findFleetManager,
    SPARE_POOL,
    startJobDeployment,
    waitUntil,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
const TAKEOVER_TIMEOUT_MS = 12_000;
// Longer than any request of a dispatcher may take.
const LATE_ORDERS_MS = 2500;
const VMS = 8;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Orders that follow an order with a higher fencing token for the same VM. */
const ordersOutOfTurn = ({ vms }: JobDeployment): readonly string[] =>
    vms.orders
        .filter(({ vm, fence }, index) =>
            vms.orders.slice(0, index).some(earlier => earlier.vm === vm && earlier.fence > fence),
        )
        .map(({ vm, fence }) => `${vm} by token ${fence}`);

// The VM service answers slowly, so that most orders of the wave wait for a connection while their sender is suspended.
test("a fleet manager that was suspended sends no order after its successor where the VM service checks no tokens", async context => {
    const deployment = await startJobDeployment({
        dispatchers: 2,
        executors: VMS,
        runMs: () => 150,
        // These VMs are empty, so the whole wave is ordered at once.
        vmPool: SPARE_POOL,
        vmService: { enforcesFencing: false, answerDelayMs: () => 700 },
    });
    context.after(deployment.close);
    const { store, vms } = deployment;
    await waitUntil("a fleet manager", START_TIMEOUT_MS, () => findFleetManager(deployment) !== undefined);
    const suspended = findFleetManager(deployment);
    assert.ok(suspended !== undefined);
    const machines = Array.from({ length: VMS }, (unused, index) => `vm-i-${index}`);
    store.put("op", "wave/1", { wave: 1, machines, within_s: 20, cap: VMS });
    await waitUntil("the first orders", START_TIMEOUT_MS, () => vms.orders.length > 0);
    suspended.process.kill("SIGSTOP");
    const [{ fence } = { fence: 0 }] = vms.orders;
    await waitUntil(
        "the successor to maintain all VMs",
        TAKEOVER_TIMEOUT_MS,
        () => new Set(vms.orders.filter(order => order.fence > fence).map(({ vm }) => vm)).size >= VMS - 3,
    ).finally(() => suspended.process.kill("SIGCONT"));
    await sleep(LATE_ORDERS_MS);
    assert.deepEqual(ordersOutOfTurn(deployment), []);
});
