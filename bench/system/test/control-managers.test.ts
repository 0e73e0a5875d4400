import { strict as assert } from "node:assert";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { failedRequests, startBalancedLoad } from "../src/balanced-load.js";
import { type ControlFleet, startControlFleet } from "../src/control-fleet.js";
import { checkHistory } from "../src/history-checks.js";
import { pollUntil } from "../src/operator-client.js";
import { editTables, readLatest, withVmIn } from "../src/operator-edit.js";
import {
    endProcess,
    pauseProcess,
    relaunchManager,
    resumeProcess,
    waitForActiveManager,
} from "../src/process-faults.js";
import { waitForRevision } from "../src/propagation.js";
import { type RevisionWatch, watchRevisions } from "../src/revision-watch.js";
import { waitForAssignment } from "../src/vm-usage.js";

const VM = "letters-3";
const MOVE_TIMEOUT_MS = 20_000;
const DRAIN_TIMEOUT_MS = 10_000;
const SETTLE_MS = 1500;
// Delays that fall within one tick of the manager, most of which it spends waiting for the paused entry.
const PAUSE_AFTER_MS = [150, 600, 1050];

let control: ControlFleet;
let watch: RevisionWatch;
let pool = "letters";

before(async () => {
    control = await startControlFleet({
        name: "managers",
        entries: 3,
        services: [
            { name: "letters", vms: 3 },
            { name: "studies", vms: 3 },
        ],
        managerSettings: { timing: { tickMs: 400, leaseDurationMs: 2500, callTimeoutMs: 1000 } },
    });
    watch = watchRevisions(control.deployment);
});

after(() => control.stop());

/** Commits an edit that moves the VM to the other pool and returns that pool. */
const startMove = async (): Promise<string> => {
    pool = pool === "letters" ? "studies" : "letters";
    const { state } = await editTables(control.platform, withVmIn(control.tables, VM, pool));
    await waitForRevision(control.deployment, state.revision);
    return pool;
};

const waitForDraining = () =>
    pollUntil({
        what: `${VM} to be draining`,
        timeoutMs: DRAIN_TIMEOUT_MS,
        read: async () => {
            const state = await readLatest(control.platform);
            return state.assignments.rows.find(row => String(row.vm) === VM)?.phase.kind === "draining"
                ? true
                : undefined;
        },
    });

/** A way to interrupt a manager, given by its index, and to undo the interruption. */
interface Interruption {
    readonly name: string;
    readonly interrupt: (index: number) => Promise<void>;
    readonly end: (index: number) => void;
}

const managerAt = (index: number) => {
    const manager = control.deployment.managers[index];
    assert.ok(manager);
    return manager;
};

const interruptions: readonly Interruption[] = [
    {
        name: "killed",
        interrupt: index => endProcess(managerAt(index).child, "SIGKILL"),
        end: index => relaunchManager(control.deployment, index),
    },
    {
        name: "paused",
        interrupt: index => Promise.resolve(pauseProcess(managerAt(index).child)),
        end: index => resumeProcess(managerAt(index).child),
    },
];

interruptions.forEach(({ name, interrupt, end }) => {
    test(`a manager ${name} before, during or after a move must not leave it undone`, async () => {
        const load = startBalancedLoad({
            entries: control.deployment.entries,
            paths: ["/letters/1", "/studies/1"],
            workers: 4,
            workMs: 20,
            pauseMs: 20,
        });
        const phases = [
            { wait: undefined, interruptFirst: true },
            { wait: waitForDraining, interruptFirst: false },
            { wait: () => waitForAssignment(control.deployment, VM, pool, MOVE_TIMEOUT_MS), interruptFirst: false },
        ];
        for (const { wait, interruptFirst } of phases) {
            const activeIndex = await waitForActiveManager(control.deployment);
            if (interruptFirst) {
                await interrupt(activeIndex);
            }
            const target = await startMove();
            if (!interruptFirst) {
                await wait?.();
                await interrupt(activeIndex);
            }
            await waitForActiveManager(control.deployment, activeIndex);
            await waitForAssignment(control.deployment, VM, target, MOVE_TIMEOUT_MS);
            end(activeIndex);
        }
        assert.deepEqual(failedRequests(await load.stop()), []);
        assert.deepEqual(await checkHistory(control.deployment, control.platform), []);
    });
});

test("a write that a paused manager sends after another took over must have no effect", async () => {
    const { deployment } = control;
    const pausedEntry = deployment.entries[2];
    assert.ok(pausedEntry);
    for (const pauseAfterMs of PAUSE_AFTER_MS) {
        const activeIndex = await waitForActiveManager(deployment);
        const { state } = await editTables(
            control.platform,
            withVmIn(control.tables, VM, (pool = pool === "letters" ? "studies" : "letters")),
        );
        pauseProcess(pausedEntry.child);
        await sleep(pauseAfterMs);
        pauseProcess(managerAt(activeIndex).child);
        await waitForActiveManager(deployment, activeIndex);
        resumeProcess(managerAt(activeIndex).child);
        await sleep(SETTLE_MS);
        resumeProcess(pausedEntry.child);
        await waitForRevision(deployment, state.revision);
        await waitForAssignment(deployment, VM, pool, MOVE_TIMEOUT_MS);
    }
    assert.deepEqual(await checkHistory(deployment, control.platform), []);
});

test("no process reverts to an older revision while managers change", async () => {
    assert.deepEqual(await watch.stop(), []);
});
