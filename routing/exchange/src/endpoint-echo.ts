/** Whether an endpoint names the request in each of its answers, as far as was seen. */
type EchoHabit = "always" | "sometimes";

/** Habits by address. */
export type EndpointEchoes = Map<string, EchoHabit>;

/** An answer whose owner is to be judged. */
export interface JudgedAnswer {
    readonly address: string;
    /** The answer names the request that waits on its connection. */
    readonly named: boolean;
    /** The connection carried an earlier request, whose endpoint may have written a second answer. */
    readonly reused: boolean;
}

// About 100 bytes each; addresses of VMs that are gone are never asked again.
const MAX_ADDRESSES = 10_000;

/**
 * Learns from an answer whether its endpoint names requests; false if the answer may belong to an earlier request.
 * The first answer on a connection can only be that of its request, so an endpoint that names some requests only is
 * told by it.
 */
export const judgeAnswer = (echoes: EndpointEchoes, { address, named, reused }: JudgedAnswer): boolean => {
    const habit = echoes.get(address);
    if (named) {
        setHabit(echoes, address, habit ?? "always");
        return true;
    }
    if (reused) {
        return habit !== "always";
    }
    if (habit !== undefined) {
        setHabit(echoes, address, "sometimes");
    }
    return true;
};

const setHabit = (echoes: EndpointEchoes, address: string, habit: EchoHabit): void => {
    echoes.set(address, habit);
    if (echoes.size > MAX_ADDRESSES) {
        echoes.delete(echoes.keys().next().value as string);
    }
};
