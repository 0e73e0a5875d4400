import { FleetError, type FleetErrorCode } from "@almondusher/fleet/fleet-error";
import { request } from "undici";
import { z } from "zod";

export interface OperatorCall {
    /** Base URL of the operator port, for example http://10.0.0.7:9100. */
    readonly url: string;
    readonly secret: string;
    /** Path and query. */
    readonly path: `/${string}`;
    /** Sent as JSON in a POST request; without a body the request is a GET. */
    readonly body?: unknown;
    /** Limits the whole call, including the response body. */
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
 * Calls an operator port and returns the parsed JSON response.
 * Throws the error that the port reports, `not-found` if it cannot be reached or does not respond in time, or
 * `bad-message` if its response is malformed.
 */
export const callOperator = async (call: OperatorCall): Promise<unknown> => {
    const { status, text } = await sendRequest(call);
    const response = parseResponse(call, text);
    if (status <= LAST_SUCCESS_STATUS) {
        return response;
    }
    const reported = errorSchema.safeParse(response);
    if (!reported.success) {
        throw malformed(call, `the response has status ${status} but its body is not an error in the expected format`);
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
            // Covers the response body too, so that a response that stalls does not block the caller.
            signal: AbortSignal.timeout(call.timeoutMs),
        });
        return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
        throw new FleetError("not-found", {
            message: `the operator port ${call.url} does not respond: ${error instanceof Error ? error.message : String(error)}`,
            hint: "check the address and that the process runs; its log names the port that it listens on",
            cause: error,
        });
    }
};

const parseResponse = (call: OperatorCall, text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        throw malformed(call, "the response is not JSON");
    }
};

const malformed = (call: OperatorCall, problem: string): FleetError =>
    new FleetError("bad-message", {
        message: `${call.url}${call.path}: ${problem}`,
        hint: "check that the address is that of an operator port and that the process runs the same version of almondusher",
    });
