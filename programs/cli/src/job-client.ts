import { FleetError } from "@almondusher/fleet/fleet-error";
import { isJobId } from "@almondusher/jobs/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import { Agent, type Dispatcher, request } from "undici";
import type { JobSettings, QueueSettings } from "./job-settings.js";

/** A call for a queue, or for one of its jobs. */
export interface QueueCall {
    readonly settings: JobSettings;
    readonly queue: QueueSettings;
    readonly method: "GET" | "POST" | "DELETE";
    /** Id of the job; absent for a call for the queue itself. */
    readonly job?: string;
    readonly body?: string;
}

/** Returns the id; throws `invalid-job` if it is not a valid job id. */
export const checkJobId = (id: string): string => {
    if (!isJobId(id)) {
        throw new FleetError("invalid-job", {
            message: `${id} is not a valid job id`,
            hint: "give an id of 16 lower-case hexadecimal digits",
        });
    }
    return id;
};

/** The response of an entry, or why there is none. */
type EntryResult =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "failed"; readonly reason: string };

/**
 * Tries the entries in order until one gives a final response. Repeating a call at the next entry is safe because calls
 * are idempotent: POST and DELETE are repeated with the same job id, and GET changes nothing. Throws `not-found` or
 * `invalid-job` if the final response is an error, `not-accepted` if no entry served the call, and `unknown-outcome` if
 * an entry may have executed a POST or DELETE.
 */
export const callQueue = async (call: QueueCall): Promise<unknown> => {
    const dispatcher = new Agent();
    try {
        return await tryEntries(call, dispatcher);
    } finally {
        await dispatcher.destroy();
    }
};

const tryEntries = async (call: QueueCall, dispatcher: Dispatcher): Promise<unknown> => {
    const results: EntryResult[] = [];
    for (const entry of call.settings.entries) {
        const result = await callEntry(entry, call, dispatcher);
        if (isFinal(result)) {
            return readFinalResponse(call, result);
        }
        results.push(result);
    }
    throw createUnavailableError(call, results);
};

const callEntry = async (entry: string, call: QueueCall, dispatcher: Dispatcher): Promise<EntryResult> => {
    const { settings, queue, method, job = "", body } = call;
    try {
        const response = await request(new URL(queue.prefix + job, entry), {
            method,
            dispatcher,
            headers: { host: queue.host, "deadline-ms": String(settings.timeoutMs) },
            signal: AbortSignal.timeout(settings.timeoutMs),
            ...(body === undefined ? {} : { body }),
        });
        return { kind: "answered", status: response.statusCode, body: parseBody(await response.body.text()) };
    } catch (error) {
        return { kind: "failed", reason: `${entry}: ${error instanceof Error ? error.message : String(error)}` };
    }
};

// A body that is not JSON is returned as text.
const parseBody = (text: string): unknown => parseJson(text) ?? text;

const SERVER_ERROR_STATUS = 500;
const TOO_MANY_REQUESTS_STATUS = 429;
const SERVICE_UNAVAILABLE_STATUS = 503;

type FinalResponse = Extract<EntryResult, { kind: "answered" }>;

const isFinal = (result: EntryResult): result is FinalResponse =>
    result.kind === "answered" && result.status < SERVER_ERROR_STATUS && result.status !== TOO_MANY_REQUESTS_STATUS;

const readFinalResponse = ({ queue, job = "" }: QueueCall, { status, body }: FinalResponse): unknown => {
    switch (status) {
        case 200:
        case 201:
        case 202:
        case 204:
            return body;
        case 404:
            throw new FleetError("not-found", {
                message: `the entries do not serve queue ${queue.name} at ${queue.host}${queue.prefix}`,
                hint: "check host and prefix in the settings against the configuration in force",
            });
        case 410:
            throw new FleetError("not-found", {
                message: `queue ${queue.name} has no job ${job}`,
                hint: "check the id; finished jobs can be read for a limited time only",
            });
        default:
            throw new FleetError("invalid-job", {
                message: `queue ${queue.name} rejected the call with status ${status}: ${JSON.stringify(body)}`,
                hint: "correct the job and submit it again",
            });
    }
};

const createUnavailableError = ({ queue, method }: QueueCall, results: readonly EntryResult[]): FleetError => {
    const details = results.map(result =>
        result.kind === "failed" ? result.reason : `status ${result.status}: ${JSON.stringify(result.body)}`,
    );
    const isRefusedByAll = results.every(
        result =>
            result.kind === "answered" &&
            (result.status === SERVICE_UNAVAILABLE_STATUS || result.status === TOO_MANY_REQUESTS_STATUS),
    );
    return isRefusedByAll || method === "GET"
        ? new FleetError("not-accepted", {
              message: `no entry served the call for queue ${queue.name}`,
              details,
              hint: "try again later; nothing was changed",
          })
        : new FleetError("unknown-outcome", {
              message: `no entry confirmed the call for queue ${queue.name}`,
              details,
              hint: "repeat the call with the same id; it takes effect at most once",
          });
};
