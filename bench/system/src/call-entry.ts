import { type IncomingMessage, request } from "node:http";
import type { DeployedEntry } from "./deployment.js";

export interface CallOptions {
    readonly method?: string;
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string | Buffer;
    /** Ends the call from the caller's side. */
    readonly signal?: AbortSignal;
    /** Time after which the caller gives up, so that a lost request fails its test instead of holding it up. */
    readonly giveUpMs?: number;
}

const GIVE_UP_MS = 20_000;

/** A whole answer as the caller got it. */
export interface CallAnswer {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly trailers: IncomingMessage["trailers"];
    readonly body: Buffer;
    /** Verdict of a rejection. */
    readonly verdict: string | undefined;
    readonly cause: string | undefined;
    readonly requestId: string | undefined;
}

/** A call that the caller saw fail: no answer, or one that was cut short. */
interface BrokenCall {
    readonly kind: "broken";
    readonly message: string;
}

/** What a caller saw of one request. */
export type CallResult = CallAnswer | BrokenCall;

const textOf = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value.join(",") : value;

const readAnswer = async (incoming: IncomingMessage): Promise<CallAnswer> => {
    const body = Buffer.concat((await incoming.toArray()) as Buffer[]);
    const { headers, trailers } = incoming;
    return {
        kind: "answer",
        status: incoming.statusCode ?? 0,
        headers,
        trailers,
        body,
        verdict: textOf(headers["almondusher-verdict"]),
        cause: textOf(headers["almondusher-cause"]),
        requestId: textOf(headers["almondusher-request-id"]),
    };
};

/** Sends one request on a connection of its own and reads the answer whole; never rejects. */
export const callEntry = ({ callerUrl }: Pick<DeployedEntry, "callerUrl">, options: CallOptions): Promise<CallResult> =>
    new Promise(resolve => {
        const timer = setTimeout(() => {
            outgoing.destroy(new Error("no whole answer before the caller gave up"));
        }, options.giveUpMs ?? GIVE_UP_MS);
        const settle = (result: CallResult): void => {
            clearTimeout(timer);
            resolve(result);
        };
        const fail = (error: Error): void => settle({ kind: "broken", message: error.message });
        const outgoing = request(`${callerUrl}${options.path}`, {
            method: options.method ?? "GET",
            headers: options.headers ?? {},
            agent: false,
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        outgoing.on("response", incoming => void readAnswer(incoming).then(settle, fail));
        outgoing.on("error", fail);
        outgoing.end(options.body);
    });

/** The answer of a call; throws if the caller saw it fail. */
export const wholeAnswer = (result: CallResult): CallAnswer => {
    if (result.kind === "broken") {
        throw new Error(`the call failed: ${result.message}`);
    }
    return result;
};
