import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Child } from "./child-process.js";
import { type DeployedEntry, type Deployment, launchEntry, launchManager } from "./deployment.js";
import { pollUntil } from "./operator-client.js";
import { type ProcessStatus, readManagers, readOperator } from "./read-operator.js";

const READY_TIMEOUT_MS = 20_000;
const TAKEOVER_TIMEOUT_MS = 20_000;
const DESCRIBED_LOG_LINES = 8;

/** Pauses a process with SIGSTOP; its connections stay open. */
export const pauseProcess = (child: Child): void => void child.process.kill("SIGSTOP");

/** Resumes a paused process with SIGCONT. */
export const resumeProcess = (child: Child): void => void child.process.kill("SIGCONT");

/** Sends the signal to a process and waits for its exit. */
export const endProcess = async (child: Child, signal: "SIGTERM" | "SIGKILL"): Promise<void> => {
    child.process.kill(signal);
    await child.exited;
};

/** Waits until an entry reports that it is ready. */
export const waitForReady = (deployment: Deployment, entry: DeployedEntry): Promise<ProcessStatus> =>
    pollUntil({
        what: `${entry.vmId} to be ready`,
        timeoutMs: READY_TIMEOUT_MS,
        read: async () => {
            const status = await readOperator<ProcessStatus>(deployment, entry.operatorUrl, "/status");
            return status?.ready === true ? status : undefined;
        },
        describeState: () => describeChild(deployment, entry.child),
    });

/** Starts a new process for an entry, with the given top-level settings overridden. */
export const relaunchEntry = (deployment: Deployment, entry: DeployedEntry, changes: object = {}): void => {
    const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as object;
    writeFileSync(entry.settingsFile, JSON.stringify({ ...settings, ...changes }, undefined, 4));
    entry.child = launchEntry(entry.vmId, entry.settingsFile, deployment.folder);
};

/** Terminates an entry's process and starts a new one; resolves once it is ready. */
export const replaceEntry = async (
    deployment: Deployment,
    entry: DeployedEntry,
    signal: "SIGTERM" | "SIGKILL",
): Promise<void> => {
    await endProcess(entry.child, signal);
    relaunchEntry(deployment, entry);
    await waitForReady(deployment, entry);
};

/** Starts a new process for a manager that has exited. */
export const relaunchManager = (deployment: Deployment, index: number): void => {
    const manager = deployment.managers[index];
    if (manager !== undefined) {
        manager.child = launchManager(`manager-${index + 1}`, manager.settingsFile, deployment.folder);
    }
};

const describeManagers = (deployment: Deployment): string =>
    deployment.managers.map(({ child }) => describeChild(deployment, child)).join("\n");

/** Describes a process for an error message, with the last lines of its log. */
export const describeChild = ({ folder }: Deployment, { name, process: child }: Child): string => {
    const lines = readFileSync(join(folder, `${name}.log`), "utf8")
        .trimEnd()
        .split("\n");
    const state = `${name}: pid ${child.pid}, exit code ${child.exitCode}, signal ${child.signalCode}`;
    return [state, ...lines.slice(-DESCRIBED_LOG_LINES)].join("\n");
};

/** Waits for an active manager other than `except` and returns its index in the deployment. */
export const waitForActiveManager = (deployment: Deployment, except?: number): Promise<number> =>
    pollUntil({
        what: "an active manager",
        timeoutMs: TAKEOVER_TIMEOUT_MS,
        read: async () => {
            const managers = await readManagers(deployment);
            return managers.find(({ index, status }) => status.leading === true && index !== except)?.index;
        },
        describeState: () => describeManagers(deployment),
    });

/** Conditions that block the drain of a VM, as reported by the active manager. */
export const readDrainBlockers = async (deployment: Deployment, vm: string): Promise<readonly string[]> => {
    const managers = await readManagers(deployment);
    return managers
        .filter(({ status }) => status.leading === true)
        .flatMap(({ status }) => status.drains)
        .filter(drain => drain.vm === vm)
        .flatMap(drain => drain.waitingFor);
};
