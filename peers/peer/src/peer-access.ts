import { createHash, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";

// Raised with every incompatible change of peer.proto or of its meaning.
const PROTOCOL_VERSION = "1";
const VERSION_HEADER = "almondusher-protocol";
const AUTHORIZATION_HEADER = "authorization";

/** Why a call was refused before it reached a handler. */
export type AccessFailure = "wrong-secret" | "wrong-version";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Client side: names the protocol version and proves knowledge of the secret. */
export const authorizeCalls =
    (secret: string): Interceptor =>
    next =>
    request => {
        request.header.set(VERSION_HEADER, PROTOCOL_VERSION);
        request.header.set(AUTHORIZATION_HEADER, `Bearer ${secret}`);
        return next(request);
    };

export interface CallCheck {
    readonly secret: string;
    readonly onFailure: (failure: AccessFailure) => void;
}

/** Server side: refuses calls without the secret or of another protocol version. */
export const checkCalls = ({ secret, onFailure }: CallCheck): Interceptor => {
    const expected = digest(`Bearer ${secret}`);
    return next => request => {
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
