import { randomUUID } from "node:crypto";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { type ClaimId, toId } from "@almondusher/fleet/ids";
import { type ClaimResult, claimRequest, lookUpClaim, settleClaim } from "@almondusher/platform/claims";
import type { Verdict } from "@almondusher/fleet/verdict";
import { count } from "@almondusher/telemetry/counters";
import { type CallerRequest, requestFingerprint } from "./caller-request.js";
import type { EntryContext } from "./entry-context.js";
import type { Rejection } from "./rejection.js";
import type { ActiveRequest } from "./active-request.js";

const CLAIM_RETRY_AFTER_MS = 5000;

/** Claims the key of a non-idempotent request; returns a rejection if the request must not be sent. */
export const acquireClaim = async (
    entry: EntryContext,
    active: ActiveRequest,
    key: string,
): Promise<Rejection | undefined> => {
    const { request } = active;
    try {
        const result = await claimRequest(entry.platform, {
            route: request.route.name,
            team: request.team,
            key,
            fingerprint: requestFingerprint(request, active.incoming.headers["content-length"]),
            processId: entry.processId,
            claimId: toId<ClaimId>(randomUUID()),
            nowMs: Date.now(),
            retentionMs: entry.settings.timing.claimRetentionMs,
        });
        return claimRejection(active, result);
    } catch (error) {
        return claimUnavailableRejection(error);
    }
};

const claimRejection = (active: ActiveRequest, result: ClaimResult): Rejection | undefined => {
    switch (result.kind) {
        case "claimed":
            active.claim = result.claim;
            active.claimed = true;
            return undefined;
        case "held":
            return {
                status: 409,
                cause: "claim-held",
                verdict: "may-have-run",
                message: "an earlier request with this key may have run or may still run",
                retryAfterMs: CLAIM_RETRY_AFTER_MS,
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

const claimUnavailableRejection = (error: unknown): Rejection => ({
    status: 503,
    cause: "platform-unavailable",
    // Another entry may have sent an earlier request with this key.
    verdict: "may-have-run",
    message: `the claim of this request could not be decided: ${error instanceof FleetError ? error.message : String(error)}`,
    retryAfterMs: CLAIM_RETRY_AFTER_MS,
});

/** Settles the claim of a request with its outcome; if the write fails, the claim remains held. */
export const settleRequestClaim = (entry: EntryContext, active: ActiveRequest, outcome: "ran" | "released"): void => {
    const { claim, request } = active;
    if (claim === undefined) {
        return;
    }
    active.claim = undefined;
    settleClaim(entry.platform, claim, outcome).catch(() => {
        count(entry.counters, { name: "unsettled-claims", route: request.route.name, pool: request.route.pool });
    });
};

// Each lookup costs one platform read, and the platform serves about 2000 reads per second for all entries together.
const MAX_PENDING_CLAIM_LOOKUPS = 50;

/**
 * Looks up the verdict on a request that is rejected before its key was claimed, as an earlier request with the same
 * key may have run. If the platform does not respond or too many lookups are pending, only `may-have-run` is certain.
 */
export const lookUpVerdict = async (entry: EntryContext, request: CallerRequest): Promise<Verdict> => {
    const { key, route, team } = request;
    if (key === undefined || request.idempotent) {
        return "not-run";
    }
    if (entry.tables.pendingClaimLookups >= MAX_PENDING_CLAIM_LOOKUPS) {
        return "may-have-run";
    }
    entry.tables.pendingClaimLookups += 1;
    try {
        return await lookUpClaim(entry.platform, { route: route.name, team, key });
    } catch {
        return "may-have-run";
    } finally {
        entry.tables.pendingClaimLookups -= 1;
    }
};
