import { readFileSync, writeFileSync } from "node:fs";
import type { Child } from "./child-process.js";
import { type DeployedEntry, type Deployment, launchEntry, launchManager } from "./deployment.js";
import { pollUntil } from "./operator-client.js";
import { type ProcessStatus, readManagers, readOperator } from "./read-operator.js";

const READY_LIMIT_MS = 20_000;
const TAKEOVER_LIMIT_MS = 20_000;

/** Stops a process in place; its connections stay open. */
export const freeze = (child: Child): void => void child.process.kill("SIGSTOP");

/** Lets a frozen process go on. */
export const resume = (child: Child): void => void child.process.kill("SIGCONT");

/** Ends a process with the signal and waits until it has gone. */
export const endProcess = async (child: Child, signal: "SIGTERM" | "SIGKILL"): Promise<void> => {
    child.process.kill(signal);
    await child.exited;
};

/** Waits until an entry reports that it is ready. */
export const waitForReady = (deployment: Deployment, entry: DeployedEntry): Promise<ProcessStatus> =>
    pollUntil({
        what: `${entry.vmId} ready`,
        timeoutMs: READY_LIMIT_MS,
        read: async () => {
            const status = await readOperator<ProcessStatus>(deployment, entry.operatorUrl, "/status");
            return status?.ready === true ? status : undefined;
        },
    });

/** Starts the entry of a VM again, with the given keys of its settings replaced. */
export const relaunchEntry = (deployment: Deployment, entry: DeployedEntry, changes: object = {}): void => {
    const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as object;
    writeFileSync(entry.settingsFile, JSON.stringify({ ...settings, ...changes }, undefined, 4));
    entry.child = launchEntry(entry.vmId, entry.settingsFile, deployment.folder);
};

/** Ends the entry of a VM and starts another one in its place; resolves once it is ready. */
export const replaceEntry = async (
    deployment: Deployment,
    entry: DeployedEntry,
    signal: "SIGTERM" | "SIGKILL",
): Promise<void> => {
    await endProcess(entry.child, signal);
    relaunchEntry(deployment, entry);
    await waitForReady(deployment, entry);
};

/** Starts a manager again that has ended. */
export const relaunchManager = (deployment: Deployment, index: number): void => {
    const manager = deployment.managers[index];
    if (manager !== undefined) {
        manager.child = launchManager(`manager-${index + 1}`, manager.settingsFile, deployment.folder);
    }
};

/** Waits for a manager that leads, other than the one left out, and returns its place in the deployment. */
export const waitForLeader = (deployment: Deployment, except?: number): Promise<number> =>
    pollUntil({
        what: "a manager leads",
        timeoutMs: TAKEOVER_LIMIT_MS,
        read: async () => {
            const managers = await readManagers(deployment);
            return managers.find(({ index, status }) => status.leading === true && index !== except)?.index;
        },
    });

/** What the active manager says that a drain waits for. */
export const readWaiting = async (deployment: Deployment, vm: string): Promise<readonly string[]> => {
    const managers = await readManagers(deployment);
    return managers
        .filter(({ status }) => status.leading === true)
        .flatMap(({ status }) => status.drains)
        .filter(drain => drain.vm === vm)
        .flatMap(drain => drain.waitingFor);
};
