import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { type RequestId, type TeamName, toId } from "@almondusher/fleet/ids";
import { isIdempotent, type Route } from "@almondusher/fleet/route";
import type { RouteIndex } from "@almondusher/fleet/route-index";
import { lessUrgent, type Urgency, urgencyOfLevel } from "@almondusher/fleet/urgency";
import type { Rejection } from "./rejection.js";

/** A caller's request, parsed and matched to a route. */
export interface CallerRequest {
    readonly id: RequestId;
    readonly route: Route;
    readonly method: string;
    readonly target: string;
    readonly urgency: Urgency;
    readonly team: TeamName;
    readonly idempotent: boolean;
    /** Value of the Idempotency-Key header; absent if the caller sent none. */
    readonly key?: string;
    readonly hasBody: boolean;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    /** Monotonic time by which the request must have been sent to an endpoint, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Monotonic time by which the response must begin, in milliseconds; absent without `almondusher-timeout-ms`. */
    readonly responseDeadlineAtMs?: number;
}

/** A parsed request, or the rejection of one that cannot be served. */
export type RequestParseResult =
    | { readonly kind: "request"; readonly request: CallerRequest }
    | { readonly kind: "rejected"; readonly rejection: Rejection };

export interface ParseRequestOptions {
    readonly id: RequestId;
    readonly routes: RouteIndex;
    readonly nowMs: number;
}

const MAX_KEY_CHARACTERS = 255;
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const TEAM_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const URGENCY_PATTERN = /(?:^|,)\s*u=([0-7])\s*(?:$|[,;])/;
const MAX_TIMEOUT_MS = 24 * 60 * 60 * 1000;

const rejected = (status: number, cause: Rejection["cause"], message: string): RequestParseResult => ({
    kind: "rejected",
    rejection: { status, cause, verdict: "not-run", message },
});

/** Parses a request and finds its route. Rejections have the verdict `not-run`, as nothing was sent to an endpoint. */
export const parseCallerRequest = (incoming: IncomingMessage, options: ParseRequestOptions): RequestParseResult => {
    const method = incoming.method ?? "GET";
    const target = incoming.url ?? "/";
    if (incoming.headers.upgrade !== undefined) {
        return rejected(501, "upgrade", "protocol upgrades are not served");
    }
    if (!target.startsWith("/")) {
        return rejected(400, "bad-request", "the request target must be a path");
    }
    const malformed = findMalformedHeader(incoming);
    if (malformed !== undefined) {
        return rejected(400, "bad-request", malformed);
    }
    const route = options.routes.find({ host: hostOf(incoming), path: pathOf(target), method });
    if (route === undefined) {
        return rejected(404, "no-route", `no route serves ${method} ${pathOf(target)}`);
    }
    if (Number(incoming.headers["content-length"] ?? 0) > route.maxBodyBytes) {
        return rejected(413, "too-large", `route ${route.name} takes bodies of at most ${route.maxBodyBytes} bytes`);
    }
    return { kind: "request", request: buildRequest(incoming, route, options) };
};

const buildRequest = (incoming: IncomingMessage, route: Route, options: ParseRequestOptions): CallerRequest => {
    const method = incoming.method ?? "GET";
    const key = headerOf(incoming, "idempotency-key");
    const timeout = headerOf(incoming, "almondusher-timeout-ms");
    const timeoutMs = Math.min(Number(timeout ?? route.timeoutMs), route.timeoutMs);
    const team = headerOf(incoming, "almondusher-team");
    return {
        id: options.id,
        route,
        method,
        target: incoming.url ?? "/",
        urgency: urgencyOf(incoming, route),
        team: team === undefined ? route.team : toId<TeamName>(team),
        idempotent: isIdempotent(route, method),
        ...(key === undefined ? {} : { key }),
        hasBody: declaresBody(incoming),
        arrivedAtMs: options.nowMs,
        deadlineAtMs: options.nowMs + timeoutMs,
        ...(timeout === undefined ? {} : { responseDeadlineAtMs: options.nowMs + timeoutMs }),
    };
};

/** Returns whether the headers declare a request body. */
export const declaresBody = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

const headerOf = (incoming: IncomingMessage, name: string): string | undefined => {
    const value = incoming.headers[name];
    return typeof value === "string" ? value : undefined;
};

// Node.js joins repeated headers with a comma, so a repeated Idempotency-Key shows up as a value with a comma.
const findMalformedHeader = (incoming: IncomingMessage): string | undefined => {
    const key = headerOf(incoming, "idempotency-key");
    if (key !== undefined && (!KEY_PATTERN.test(key) || key.length > MAX_KEY_CHARACTERS || key.includes(","))) {
        return `Idempotency-Key must be one value of 1 to ${MAX_KEY_CHARACTERS} visible ASCII characters without a comma`;
    }
    const timeout = headerOf(incoming, "almondusher-timeout-ms");
    if (
        timeout !== undefined &&
        !(/^\d{1,8}$/.test(timeout) && Number(timeout) > 0 && Number(timeout) <= MAX_TIMEOUT_MS)
    ) {
        return `almondusher-timeout-ms must be a number from 1 to ${MAX_TIMEOUT_MS}`;
    }
    const team = headerOf(incoming, "almondusher-team");
    if (team !== undefined && !TEAM_PATTERN.test(team)) {
        return "almondusher-team must be a name of lower case letters, digits, dots and hyphens";
    }
    return undefined;
};

const pathOf = (target: string): string => target.split("?", 1).join();

const hostOf = (incoming: IncomingMessage): string => (incoming.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();

// A Priority header that cannot be parsed is ignored, as RFC 9218 specifies.
const urgencyOf = (incoming: IncomingMessage, route: Route): Urgency => {
    const level = URGENCY_PATTERN.exec(headerOf(incoming, "priority") ?? "")?.[1];
    return level === undefined ? route.urgency : lessUrgent(route.urgency, urgencyOfLevel(Number(level)));
};

/** Hashes method, target and content length, to detect an idempotency key that is reused for a different request. */
export const requestFingerprint = (request: CallerRequest, contentLength: string | undefined): string =>
    createHash("sha256")
        .update(`${request.method} ${request.target} ${contentLength ?? ""}`)
        .digest("base64url");
