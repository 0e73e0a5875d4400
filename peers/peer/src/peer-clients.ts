import { createPeerClient, type PeerClient } from "./peer-client.js";

export interface PeerClientsOptions {
    readonly secret: string;
    /** Longest time of a call, in milliseconds. */
    readonly timeoutMs: number;
}

/** The clients of a process, one for each URL. */
export interface PeerClients {
    clientFor: (url: string) => PeerClient;
    /** Closes the clients of all other URLs. */
    keepOnly: (urls: readonly string[]) => void;
    close: () => void;
}

/** Creates an empty set of clients. */
export const createPeerClients = (options: PeerClientsOptions): PeerClients => {
    const clients = new Map<string, PeerClient>();
    const drop = (url: string): void => {
        clients.get(url)?.reconnect();
        clients.delete(url);
    };
    return {
        clientFor: url => {
            const client = clients.get(url) ?? createPeerClient({ url, ...options });
            clients.set(url, client);
            return client;
        },
        keepOnly: urls => {
            const kept = new Set(urls);
            [...clients.keys()].filter(url => !kept.has(url)).forEach(drop);
        },
        close: () => [...clients.keys()].forEach(drop),
    };
};
