import type { Server } from "node:http";
import { deriveClientLimits, readProcessResources, type ClientLimits } from "@almondusher/connections/client-limits";
import { guardServer, type GuardOptions, type ServerGuard } from "@almondusher/connections/guard-server";
import type { DispatcherContext } from "./dispatcher-context.js";
import type { DispatcherSettings } from "./dispatcher-settings.js";

/** A listener of the process. */
type Listener = "clients" | "readiness" | "metrics";

export interface GuardClientsOptions {
    readonly context: Pick<DispatcherContext, "settings" | "metrics" | "log">;
    readonly listener: Listener;
    /** Times that the operator's configuration promises to clients. */
    readonly promised?: GuardOptions["promised"];
}

const BYTES_PER_MEGABYTE = 1_000_000;
// The platform's check and the reader of the metrics each use one connection at a time.
const SIDE_CONNECTIONS = 64;
const SIDE_HELD_BYTES = 1_048_576;

/** Keeps the connections of a server within the limits of the settings; counts and logs those that it closes. */
export const guardClients = (server: Server, { context, listener, promised }: GuardClientsOptions): ServerGuard => {
    // Clients keep connections open until the process exits.
    server.keepAliveTimeout = 0;
    return guardServer(server, {
        limits: limitsOf(listener, clientLimits(context.settings)),
        ...(promised === undefined ? {} : { promised }),
        report: (reason, closed) => {
            context.metrics.count(`connections_closed_${reason.replaceAll("-", "_")}`, closed);
            context.log("connections-closed", { listener, reason, closed });
        },
    });
};

const clientLimits = ({ memoryMb, maxDescriptors, clientLimits: given }: DispatcherSettings): ClientLimits =>
    deriveClientLimits(
        readProcessResources({
            memoryBytes: memoryMb === undefined ? undefined : memoryMb * BYTES_PER_MEGABYTE,
            descriptors: maxDescriptors,
        }),
        given,
    );

const limitsOf = (listener: Listener, limits: ClientLimits): ClientLimits => {
    switch (listener) {
        case "clients":
            return limits;
        case "readiness":
        case "metrics":
            return { ...limits, connections: SIDE_CONNECTIONS, heldBytes: SIDE_HELD_BYTES };
    }
};
