import { type IncomingMessage, request } from "node:http";
import type { DeployedEntry } from "./deployment.js";

export interface CallOptions {
    readonly method?: string;
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string | Buffer;
    /** Aborts the request from the caller's side. */
    readonly signal?: AbortSignal;
    /** Caller's timeout; makes a test fail instead of hang when a request is lost. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 20_000;

/** A complete response as received by the caller. */
export interface CallResponse {
    readonly kind: "response";
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly trailers: IncomingMessage["trailers"];
    readonly body: Buffer;
    /** Verdict header; present on rejections only. */
    readonly verdict: string | undefined;
    readonly cause: string | undefined;
    readonly requestId: string | undefined;
}

/** A request without a response or with a truncated one. */
interface FailedCall {
    readonly kind: "broken";
    readonly message: string;
}

/** Outcome of one request as observed by the caller. */
export type CallResult = CallResponse | FailedCall;

const headerText = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value.join(",") : value;

const readResponse = async (incoming: IncomingMessage): Promise<CallResponse> => {
    const body = Buffer.concat((await incoming.toArray()) as Buffer[]);
    const { headers, trailers } = incoming;
    return {
        kind: "response",
        status: incoming.statusCode ?? 0,
        headers,
        trailers,
        body,
        verdict: headerText(headers["almondusher-verdict"]),
        cause: headerText(headers["almondusher-cause"]),
        requestId: headerText(headers["almondusher-request-id"]),
    };
};

/** Sends one request on a new connection and reads the complete response; never rejects. */
export const callEntry = ({ callerUrl }: Pick<DeployedEntry, "callerUrl">, options: CallOptions): Promise<CallResult> =>
    new Promise(resolve => {
        const timer = setTimeout(() => {
            outgoing.destroy(new Error("request timed out before a complete response arrived"));
        }, options.timeoutMs ?? DEFAULT_TIMEOUT_MS);
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
        outgoing.on("response", incoming => void readResponse(incoming).then(settle, fail));
        outgoing.on("error", fail);
        outgoing.end(options.body);
    });

/** Returns the response; throws if the request failed. */
export const requireResponse = (result: CallResult): CallResponse => {
    if (result.kind === "broken") {
        throw new Error(`request failed: ${result.message}`);
    }
    return result;
};
