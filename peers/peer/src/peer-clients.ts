import { createPeerClient, type PeerClient } from "./peer-client.js";

export interface PeerClientsOptions {
    readonly secret: string;
    /** Timeout of a call, in milliseconds. */
    readonly timeoutMs: number;
}

/** The peer clients of a process, one for each URL. */
export interface PeerClients {
    /** Returns the client for a URL and creates it on first use. */
    clientFor: (url: string) => PeerClient;
    /** Closes the clients of all other URLs. */
    keepOnly: (urls: readonly string[]) => void;
    close: () => void;
}

export const createPeerClients = (options: PeerClientsOptions): PeerClients => {
    const clients = new Map<string, PeerClient>();
    const closeClient = (url: string): void => {
        clients.get(url)?.disconnect();
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
            [...clients.keys()].filter(url => !kept.has(url)).forEach(closeClient);
        },
        close: () => [...clients.keys()].forEach(closeClient),
    };
};
