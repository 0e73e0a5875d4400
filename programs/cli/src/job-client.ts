import { FleetError } from "@almondusher/fleet/fleet-error";
import { isJobId } from "@almondusher/jobs/ids";
import { parseJson } from "@almondusher/jobs/json-text";
import { Agent, type Dispatcher, request } from "undici";
import type { JobSettings, NamedQueue } from "./job-settings.js";

/** A call about a queue, or about one of its jobs. */
export interface QueueCall {
    readonly settings: JobSettings;
    readonly queue: NamedQueue;
    readonly method: "GET" | "POST" | "DELETE";
    /** Absent for a call about the queue itself. */
    readonly job?: string;
    readonly body?: string;
}

/** Throws `invalid-job` unless the text is the id of a job. */
export const checkJobId = (id: string): string => {
    if (!isJobId(id)) {
        throw new FleetError("invalid-job", {
            message: `${id} is not the id of a job`,
            hint: "an id has 16 hexadecimal digits in lower case",
        });
    }
    return id;
};

/** What an entry answered, or why there is no answer. */
type EntryAnswer =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "failed"; readonly reason: string };

/**
 * Asks the entries one after the other until one gives a final answer; every call may be repeated, as a job keeps its
 * id. Throws `not-found`, `invalid-job`, `not-accepted` if no entry could take the call, and `unknown-outcome` if one
 * may have carried it out.
 */
export const callQueue = async (call: QueueCall): Promise<unknown> => {
    const dispatcher = new Agent();
    try {
        return await askInTurn(call, dispatcher);
    } finally {
        await dispatcher.destroy();
    }
};

const askInTurn = async (call: QueueCall, dispatcher: Dispatcher): Promise<unknown> => {
    const answers: EntryAnswer[] = [];
    for (const entry of call.settings.entries) {
        const answer = await askEntry(entry, call, dispatcher);
        if (isFinal(answer)) {
            return bodyOf(call, answer);
        }
        answers.push(answer);
    }
    throw withoutAnswer(call, answers);
};

const askEntry = async (entry: string, call: QueueCall, dispatcher: Dispatcher): Promise<EntryAnswer> => {
    const { settings, queue, method, job = "", body } = call;
    try {
        const response = await request(new URL(queue.prefix + job, entry), {
            method,
            dispatcher,
            headers: { host: queue.host, "deadline-ms": String(settings.timeoutMs) },
            signal: AbortSignal.timeout(settings.timeoutMs),
            ...(body === undefined ? {} : { body }),
        });
        return { kind: "answered", status: response.statusCode, body: readBody(await response.body.text()) };
    } catch (error) {
        return { kind: "failed", reason: `${entry}: ${error instanceof Error ? error.message : String(error)}` };
    }
};

// What is not JSON is shown as it came.
const readBody = (text: string): unknown => parseJson(text) ?? text;

const SERVER_ERROR = 500;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;

type FinalAnswer = Extract<EntryAnswer, { kind: "answered" }>;

const isFinal = (answer: EntryAnswer): answer is FinalAnswer =>
    answer.kind === "answered" && answer.status < SERVER_ERROR && answer.status !== TOO_MANY_REQUESTS;

const bodyOf = ({ queue, job = "" }: QueueCall, { status, body }: FinalAnswer): unknown => {
    switch (status) {
        case 200:
        case 201:
        case 202:
        case 204:
            return body;
        case 404:
            throw new FleetError("not-found", {
                message: `the entries serve no queue ${queue.name} at ${queue.host}${queue.prefix}`,
                hint: "compare host and prefix with the configuration in force",
            });
        case 410:
            throw new FleetError("not-found", {
                message: `queue ${queue.name} has no job ${job}`,
                hint: "finished jobs are shown for a limited time only",
            });
        default:
            throw new FleetError("invalid-job", {
                message: `queue ${queue.name} rejected the call with status ${status}: ${JSON.stringify(body)}`,
                hint: "correct the job and submit it again",
            });
    }
};

const withoutAnswer = ({ queue, method }: QueueCall, answers: readonly EntryAnswer[]): FleetError => {
    const details = answers.map(answer =>
        answer.kind === "failed" ? answer.reason : `status ${answer.status}: ${JSON.stringify(answer.body)}`,
    );
    const refused = answers.every(
        answer => answer.kind === "answered" && (answer.status === UNAVAILABLE || answer.status === TOO_MANY_REQUESTS),
    );
    return refused || method === "GET"
        ? new FleetError("not-accepted", {
              message: `no entry takes calls for queue ${queue.name} now`,
              details,
              hint: "try again later; nothing was changed",
          })
        : new FleetError("unknown-outcome", {
              message: `no entry confirmed the call for queue ${queue.name}`,
              details,
              hint: "repeat the call with the same id; the job stays one job",
          });
};
