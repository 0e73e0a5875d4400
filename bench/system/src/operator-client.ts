import { request } from "undici";
import type { Deployment } from "./deployment.js";

/** Parts of an entry's state dump that demos and tests read. */
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

/** Reads the state dump of a process. */
export const readDump = async (deployment: Deployment, operatorUrl: string): Promise<EntryDump> => {
    const response = await request(`${operatorUrl}/dump`, {
        headers: { authorization: `Bearer ${deployment.operatorSecret}` },
    });
    return (await response.body.json()) as EntryDump;
};

/** Sends a control request to a stand-in and returns its answer. */
export const control = async (url: string, body: object): Promise<unknown> => {
    const response = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
        throw new Error(`${url} answered ${response.statusCode}: ${text}`);
    }
    return text === "" ? undefined : JSON.parse(text);
};

export interface Poll<Result> {
    readonly what: string;
    readonly timeoutMs: number;
    readonly read: () => Promise<Result | undefined>;
}

const POLL_PERIOD_MS = 100;

/** Repeats a read until it gives a result; rejects after the time. */
export const pollUntil = async <Result>({ what, timeoutMs, read }: Poll<Result>): Promise<Result> => {
    const startedAt = performance.now();
    for (;;) {
        const result = await read().catch(() => undefined);
        if (result !== undefined) {
            return result;
        }
        if (performance.now() - startedAt > timeoutMs) {
            throw new Error(`${what}: not within ${timeoutMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS));
    }
};
