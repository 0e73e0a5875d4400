import { probeEndpoint } from "@almondusher/exchange/probe-endpoint";
import { checkProgress } from "@almondusher/exchange/check-progress";
import { runTimeOf } from "@almondusher/placement/run-times";
import { count } from "@almondusher/telemetry/counters";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { takeRetryToken } from "./pool-runtime.js";
import { expireRequest, failLostAttempt, rejectRequest, sendAttempt } from "./serve-request.js";
import type { ActiveRequest, Attempt } from "./active-request.js";

/** Fails attempts with lost connections, hedges idempotent requests without progress, and rejects overdue requests. */
export const watchAttempts = (entry: EntryContext): void => {
    const nowMs = monotonicMs();
    entry.tables.requests.forEach(active => {
        switch (active.phase) {
            case "sending":
            case "answering":
                watchRequest(entry, active, nowMs);
                return;
            case "waiting-for-slot":
            case "backing-off":
                if (nowMs > active.request.deadlineAtMs) {
                    expireRequest(entry, active.request.id);
                }
                return;
            // Admission expires queued requests at their deadline, and the platform calls of a claim have timeouts.
            case "queued":
            case "claiming":
            case "done":
                return;
        }
    });
};

const watchRequest = (entry: EntryContext, active: ActiveRequest, nowMs: number): void => {
    const { responseDeadlineAtMs } = active.request;
    if (responseDeadlineAtMs !== undefined && nowMs > responseDeadlineAtMs && active.phase === "sending") {
        rejectRequest(entry, active, {
            status: 504,
            cause: "deadline",
            verdict: "not-run",
            message: "the endpoint did not answer within almondusher-timeout-ms",
        });
        return;
    }
    active.running
        .filter(attempt => isLost(active, attempt, nowMs))
        .forEach(attempt => failLostAttempt(entry, active, attempt));
    if (active.phase === "sending" && shouldHedge(entry, active, nowMs)) {
        probeBeforeHedge(entry, active);
    }
};

const timeSinceProgress = (attempt: Attempt, nowMs: number): number =>
    nowMs - (attempt.exchange?.lastProgressAt ?? attempt.startedAtMs);

const isLost = (active: ActiveRequest, attempt: Attempt, nowMs: number): boolean => {
    const { exchange } = attempt;
    if (exchange === undefined || exchange.waitsForCaller) {
        return false;
    }
    const verdict = checkProgress({
        now: nowMs,
        lastProgressAt: exchange.lastProgressAt,
        progressIntervalMs: active.pool.view.pool.progressIntervalMs,
        headReceived: exchange.headReceived,
        waitsForCaller: false,
    });
    return verdict === "lost" || timeSinceProgress(attempt, nowMs) > active.request.route.timeoutMs;
};

// For a pool with a progress interval, missing progress marks the attempt as lost, so that no hedge is needed.
const shouldHedge = (entry: EntryContext, active: ActiveRequest, nowMs: number): boolean =>
    active.request.idempotent &&
    !active.hedged &&
    nowMs >= active.nextHedgeAtMs &&
    active.pool.view.pool.progressIntervalMs === undefined &&
    (active.body?.canReplay() ?? true) &&
    active.running.length === 1 &&
    active.running.every(
        attempt =>
            attempt.exchange?.waitsForCaller !== true &&
            timeSinceProgress(attempt, nowMs) > hedgeDelayMs(entry, active),
    );

/** Time without progress after which an idempotent request is hedged, in milliseconds. */
const hedgeDelayMs = (entry: EntryContext, active: ActiveRequest): number => {
    const { hedgeMinMs, hedgeFactor } = entry.settings.limits;
    const runTime = runTimeOf(entry.runTimes, active.request.route.name);
    return Math.max(hedgeMinMs, hedgeFactor * (runTime?.p95 ?? 0));
};

const probeBeforeHedge = (entry: EntryContext, active: ActiveRequest): void => {
    active.hedged = true;
    const [stalled] = active.running;
    if (stalled === undefined) {
        return;
    }
    const { route } = active.request;
    count(entry.counters, { name: "probes", route: route.name, pool: route.pool, vm: stalled.vm.id });
    void probeEndpoint(entry.connections, stalled.vm.address, entry.settings.timing.connectTimeoutMs).then(result => {
        if (active.phase !== "sending" || !active.running.includes(stalled)) {
            return;
        }
        switch (result.kind) {
            case "unreachable":
                failLostAttempt(entry, active, stalled);
                return;
            case "alive":
            case "silent":
                startHedge(entry, active);
                return;
        }
    });
};

const startHedge = (entry: EntryContext, active: ActiveRequest): void => {
    const { route } = active.request;
    if (takeRetryToken(active.pool, monotonicMs())) {
        count(entry.counters, { name: "hedges", route: route.name, pool: route.pool });
        sendAttempt(entry, active, "hedge");
    }
    if (active.running.length < 2) {
        // The hedge was not sent for lack of a retry token or a free slot. It is tried again later, so that the request
        // does not depend on a connection that may be lost.
        active.hedged = false;
        active.nextHedgeAtMs = monotonicMs() + entry.settings.limits.hedgeMinMs;
    }
};
