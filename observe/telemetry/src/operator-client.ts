import { FleetError, type FleetErrorCode } from "@almondusher/fleet/fleet-error";
import { request } from "undici";
import { z } from "zod";

/** One call of an operator port. */
export interface OperatorCall {
    /** Address of the operator port, for example http://10.0.0.7:9100. */
    readonly url: string;
    readonly secret: string;
    /** Path and query. */
    readonly path: `/${string}`;
    /** Sent as JSON with POST; GET if absent. */
    readonly body?: unknown;
    readonly timeoutMs: number;
}

const errorCodes = [
    "invalid-settings",
    "invalid-table",
    "invalid-edit",
    "edit-conflict",
    "not-found",
    "platform-unavailable",
    "unknown-outcome",
    "lease-lost",
    "unauthorized",
    "bad-message",
] as const satisfies readonly FleetErrorCode[];

const errorSchema = z.object({
    code: z.enum(errorCodes),
    message: z.string(),
    hint: z.string(),
    details: z.array(z.string()),
});

const LAST_SUCCESS_STATUS = 299;

/**
 * Calls an operator port and returns the parsed JSON answer.
 * Throws the error that the port reports, `not-found` if it cannot be reached, `bad-message` if its answer is malformed.
 */
export const callOperator = async (call: OperatorCall): Promise<unknown> => {
    const { status, text } = await sendRequest(call);
    const answer = parseResponse(call, text);
    if (status <= LAST_SUCCESS_STATUS) {
        return answer;
    }
    const reported = errorSchema.safeParse(answer);
    if (!reported.success) {
        throw malformed(call, `status ${status} without an error that can be read`);
    }
    const { code, message, hint, details } = reported.data;
    throw new FleetError(code, { message: `${call.url}${call.path}: ${message}`, hint, details });
};

const sendRequest = async (call: OperatorCall): Promise<{ status: number; text: string }> => {
    try {
        const response = await request(new URL(call.path, call.url), {
            method: call.body === undefined ? "GET" : "POST",
            headers: {
                authorization: `Bearer ${call.secret}`,
                ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            },
            ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
            // Covers the whole exchange, so that a port that stops half way does not hold the caller.
            signal: AbortSignal.timeout(call.timeoutMs),
        });
        return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
        throw new FleetError("not-found", {
            message: `the operator port ${call.url} does not answer: ${error instanceof Error ? error.message : String(error)}`,
            hint: "check the address and that the process runs; its log names the port that it listens on",
            cause: error,
        });
    }
};

const parseResponse = (call: OperatorCall, text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        throw malformed(call, "the answer is not JSON");
    }
};

const malformed = (call: OperatorCall, finding: string): FleetError =>
    new FleetError("bad-message", {
        message: `${call.url}${call.path}: ${finding}`,
        hint: "check that the address is an operator port of the same version of almondusher",
    });
