import { z } from "zod";
import type { PoolName, RouteName, TeamName } from "./ids.js";
import { nameSchema } from "./name-schema.js";
import { urgencies } from "./urgency.js";

const MAX_TIMEOUT_MS = 24 * 60 * 60 * 1000;
const DEFAULT_TIMEOUT_MS = 60 * 60 * 1000;
const MAX_BODY_BYTES = 16 * 1024 ** 3;
const DEFAULT_BODY_BYTES = 64 * 1024 ** 2;

/** Methods that RFC 9110 defines as idempotent. */
const idempotentMethods: readonly string[] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/** Schema of a row of the routes table. */
export const routeSchema = z.strictObject({
    name: nameSchema<RouteName>(),
    /** Host that the request must have; any host if absent. */
    host: z
        .string()
        .regex(/^[a-z0-9.-]+$/, "must be a host name in lower case without a port")
        .optional(),
    pathPrefix: z.string().regex(/^\/[^\s?#]*$/, "must start with / and have no query"),
    /** Methods that the route accepts; all if empty. */
    methods: z.array(z.string().regex(/^[A-Z]+$/, "must be a method in upper case")).default([]),
    pool: nameSchema<PoolName>(),
    /** Team whose quota applies to requests that do not name a team. */
    team: nameSchema<TeamName>(),
    urgency: z.enum(urgencies).default("normal"),
    /** `by-method` follows RFC 9110; `never` marks every request of the route as non-idempotent. */
    idempotency: z.enum(["by-method", "always", "never"]).default("by-method"),
    /** Maximum wait for a slot and then maximum time without progress of the endpoint, in milliseconds. */
    timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
    maxBodyBytes: z.int().min(0).max(MAX_BODY_BYTES).default(DEFAULT_BODY_BYTES),
});

/** A row of the routes table: which requests go to which pool. */
export type Route = z.infer<typeof routeSchema>;

/** True if a request of this method may run more than once on this route. */
export const isIdempotent = (route: Route, method: string): boolean => {
    switch (route.idempotency) {
        case "always":
            return true;
        case "never":
            return false;
        case "by-method":
            return idempotentMethods.includes(method);
    }
};
