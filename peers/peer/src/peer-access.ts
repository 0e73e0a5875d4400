import { createHash, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";

// Increase it with every incompatible change of peer.proto, including those that change only the meaning of a field or a
// call.
const PROTOCOL_VERSION = "1";
const VERSION_HEADER = "almondusher-protocol";
const AUTHORIZATION_HEADER = "authorization";

/** Why a call was rejected before it reached a handler. */
export type AccessFailure = "wrong-secret" | "wrong-version";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Client interceptor: sends the protocol version and the shared secret with each call. */
export const authorizeCalls =
    (secret: string): Interceptor =>
    next =>
    request => {
        request.header.set(VERSION_HEADER, PROTOCOL_VERSION);
        request.header.set(AUTHORIZATION_HEADER, `Bearer ${secret}`);
        return next(request);
    };

export interface CallCheckOptions {
    readonly secret: string;
    /** Called for each rejected call. */
    readonly onFailure: (failure: AccessFailure) => void;
}

/** Server interceptor: rejects calls without the shared secret or with another protocol version. */
export const checkCalls = ({ secret, onFailure }: CallCheckOptions): Interceptor => {
    const expected = digest(`Bearer ${secret}`);
    return next => request => {
        // Digests have equal length, which timingSafeEqual requires.
        if (!timingSafeEqual(digest(request.header.get(AUTHORIZATION_HEADER) ?? ""), expected)) {
            onFailure("wrong-secret");
            throw new ConnectError("the peer secret is wrong", Code.Unauthenticated);
        }
        const version = request.header.get(VERSION_HEADER) ?? "none";
        if (version !== PROTOCOL_VERSION) {
            onFailure("wrong-version");
            throw new ConnectError(
                `peer protocol version ${version} is not ${PROTOCOL_VERSION}`,
                Code.FailedPrecondition,
            );
        }
        return next(request);
    };
};
