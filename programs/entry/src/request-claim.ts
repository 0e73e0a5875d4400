import { randomUUID } from "node:crypto";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { type ClaimId, toId } from "@almondusher/fleet/ids";
import { type ClaimResult, claimRequest, lookUpClaim, settleClaim } from "@almondusher/platform/claims";
import type { Verdict } from "@almondusher/fleet/verdict";
import { count } from "@almondusher/telemetry/counters";
import { type CallerRequest, fingerprintOf } from "./caller-request.js";
import type { EntryContext } from "./entry-context.js";
import type { Rejection } from "./rejection.js";
import type { RequestFlow } from "./request-flow.js";

const RETRY_WHILE_HELD_MS = 5000;

/** Claims a keyed non-idempotent request; returns why it must not be sent, or undefined once it may be sent. */
export const claimFlow = async (
    entry: EntryContext,
    flow: RequestFlow,
    key: string,
): Promise<Rejection | undefined> => {
    const { request } = flow;
    try {
        const result = await claimRequest(entry.platform, {
            route: request.route.name,
            team: request.team,
            key,
            fingerprint: fingerprintOf(request, flow.incoming.headers["content-length"]),
            processId: entry.processId,
            claimId: toId<ClaimId>(randomUUID()),
            now: Date.now(),
            retentionMs: entry.settings.timing.claimRetentionMs,
        });
        return judgeClaim(flow, result);
    } catch (error) {
        return unavailable(error);
    }
};

const judgeClaim = (flow: RequestFlow, result: ClaimResult): Rejection | undefined => {
    switch (result.kind) {
        case "claimed":
            flow.claim = result.claim;
            flow.claimed = true;
            return undefined;
        case "held":
            return {
                status: 409,
                cause: "claim-held",
                verdict: "may-have-run",
                message: "an earlier request with this key may have run or may still run",
                retryAfterMs: RETRY_WHILE_HELD_MS,
            };
        case "ran":
            return {
                status: 409,
                cause: "claim-ran",
                verdict: "ran",
                message: "an earlier request with this key ran and was answered",
            };
        case "mismatch":
            return {
                status: 422,
                cause: "claim-mismatch",
                verdict: "not-run",
                message: "this key was used for another request",
            };
    }
};

const unavailable = (error: unknown): Rejection => ({
    status: 503,
    cause: "platform-unavailable",
    // An earlier request with this key may have been sent by another entry.
    verdict: "may-have-run",
    message: `the claim of this request could not be decided: ${error instanceof FleetError ? error.message : String(error)}`,
    retryAfterMs: RETRY_WHILE_HELD_MS,
});

/** Records the outcome of a claimed request; a claim whose outcome cannot be written stays held. */
export const settleFlowClaim = (entry: EntryContext, flow: RequestFlow, outcome: "ran" | "released"): void => {
    const { claim, request } = flow;
    if (claim === undefined) {
        return;
    }
    flow.claim = undefined;
    settleClaim(entry.platform, claim, outcome).catch(() => {
        count(entry.counters, { name: "unsettled-claims", route: request.route.name, pool: request.route.pool });
    });
};

// Each lookup is one read of the platform, which serves about two thousand a second for all entries.
const MAX_LOOKUPS = 50;

/**
 * The verdict on a request that is rejected before it was claimed: an earlier request with its key may have run.
 * Without an answer of the platform only "may-have-run" is certain to be true.
 */
export const verdictOfKey = async (entry: EntryContext, request: CallerRequest): Promise<Verdict> => {
    const { key, route, team } = request;
    if (key === undefined || request.idempotent) {
        return "not-run";
    }
    if (entry.tables.lookups >= MAX_LOOKUPS) {
        return "may-have-run";
    }
    entry.tables.lookups += 1;
    try {
        return await lookUpClaim(entry.platform, { route: route.name, team, key });
    } catch {
        return "may-have-run";
    } finally {
        entry.tables.lookups -= 1;
    }
};
