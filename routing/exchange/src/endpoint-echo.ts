/** Whether an endpoint has echoed the request id in all or only in some of its responses. */
type EchoBehaviour = "always" | "sometimes";

/** Echo behaviour by endpoint address. */
export type EchoBehaviours = Map<string, EchoBehaviour>;

/** A response that may belong to the current or to an earlier request of its connection. */
export interface ObservedResponse {
    readonly address: string;
    /** The response echoes the id of the current request of its connection. */
    readonly echoed: boolean;
    /** The connection has carried an earlier request, for which the endpoint may have sent a second response. */
    readonly reused: boolean;
}

// A record takes about 100 bytes. Those of removed VMs are never looked up again, so the oldest are evicted.
const MAX_ADDRESSES = 10_000;

/**
 * Records whether the endpoint echoes request ids; returns false if the response may belong to an earlier request.
 * The first response on a connection can only belong to its request, so a missing echo there shows that the endpoint
 * echoes only some request ids.
 */
export const acceptResponse = (echoes: EchoBehaviours, { address, echoed, reused }: ObservedResponse): boolean => {
    const behaviour = echoes.get(address);
    if (echoed) {
        setBehaviour(echoes, address, behaviour ?? "always");
        return true;
    }
    if (reused) {
        return behaviour !== "always";
    }
    if (behaviour !== undefined) {
        setBehaviour(echoes, address, "sometimes");
    }
    return true;
};

const setBehaviour = (echoes: EchoBehaviours, address: string, behaviour: EchoBehaviour): void => {
    echoes.set(address, behaviour);
    if (echoes.size > MAX_ADDRESSES) {
        echoes.delete(echoes.keys().next().value as string);
    }
};
