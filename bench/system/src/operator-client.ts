import { request } from "undici";
import type { Deployment } from "./deployment.js";

/** Fields of an entry's state dump that the demo and the tests read. */
export interface EntryDump {
    readonly processId: string;
    readonly revision: number;
    readonly memory: { readonly residentBytes: number };
    readonly cpu: { readonly coreShare: number };
    readonly sections: {
        readonly readiness: { readonly ready: boolean; readonly reason?: string };
        readonly registered: boolean;
        readonly assignments: readonly {
            readonly vm: string;
            readonly pool: string;
            readonly phase: { kind: string };
        }[];
        readonly counters: readonly {
            readonly name: string;
            readonly cause?: string;
            readonly vm?: string;
            readonly verdict?: string;
            readonly value: number;
        }[];
    };
}

/** Reads the state dump of a process from its operator port. */
export const readDump = async (deployment: Deployment, operatorUrl: string): Promise<EntryDump> => {
    const response = await request(`${operatorUrl}/dump`, {
        headers: { authorization: `Bearer ${deployment.operatorSecret}` },
    });
    return (await response.body.json()) as EntryDump;
};

/** Sends a control request to a stand-in and returns the response body. */
export const postControl = async (url: string, body: object): Promise<unknown> => {
    const response = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
        throw new Error(`control request to ${url} failed with status ${response.statusCode}: ${text}`);
    }
    return text === "" ? undefined : JSON.parse(text);
};

export interface Poll<Result> {
    /** Awaited condition, for the error message. */
    readonly what: string;
    readonly timeoutMs: number;
    /** Returns undefined until the condition holds; an error counts as undefined. */
    readonly read: () => Promise<Result | undefined>;
    /** Describes the state of the processes for the error message of a timeout. */
    readonly describeState?: () => string;
}

const POLL_PERIOD_MS = 100;

/** Repeats a read until it returns a result; rejects on timeout. */
export const pollUntil = async <Result>({ what, timeoutMs, read, describeState }: Poll<Result>): Promise<Result> => {
    const startedAt = performance.now();
    for (;;) {
        const result = await read().catch(() => undefined);
        if (result !== undefined) {
            return result;
        }
        if (performance.now() - startedAt > timeoutMs) {
            const state = describeState === undefined ? "" : `\n${describeState()}`;
            throw new Error(`timed out waiting for ${what} after ${timeoutMs} ms${state}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS));
    }
};
