import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { hasEnded, sendJobRequest, type DeployedDispatcher, type JobDeployment } from "./job-deployment.js";

/** A dispatcher process and its path to the store, which can be cut. */
export interface SoakedDispatcher {
    readonly vm: string;
    relay: TcpRelay;
    process: DeployedDispatcher;
}

/** Starts a dispatcher that reaches the store through a relay. */
export const startSoaked = async (deployment: JobDeployment, vm: string): Promise<SoakedDispatcher> => {
    const relay = await startTcpRelay({ target: deployment.store.address });
    return { vm, relay, process: await deployment.startDispatcher(vm, relay.address) };
};

/** Sends a request about a job and returns the status of the response; undefined if the process does not respond. */
export const sendTo = async (
    entry: SoakedDispatcher | undefined,
    method: "POST" | "GET" | "DELETE",
    job: string,
    body?: object,
): Promise<number | undefined> => {
    if (entry === undefined || hasEnded(entry.process)) {
        return undefined;
    }
    return sendJobRequest(entry.process, method, job, body).then(
        ({ status }) => status,
        () => undefined,
    );
};
