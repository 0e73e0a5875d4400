import { probeEndpoint } from "@almondusher/exchange/probe-endpoint";
import { watchProgress } from "@almondusher/exchange/progress-watch";
import { runTimeOf } from "@almondusher/placement/run-times";
import { count } from "@almondusher/telemetry/counters";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { spendRetry } from "./pool-runtime.js";
import { expireRequest, failLostAttempt, rejectFlow, sendAttempt } from "./serve-request.js";
import type { Attempt, RequestFlow } from "./request-flow.js";

/** Finds attempts whose connection is lost, hedges idempotent requests that hear nothing, and ends requests out of time. */
export const watchAttempts = (entry: EntryContext): void => {
    const nowMs = monotonicMs();
    entry.tables.requests.forEach(flow => {
        switch (flow.phase) {
            case "sending":
            case "answering":
                watchFlow(entry, flow, nowMs);
                return;
            case "waiting-for-slot":
            case "backing-off":
                if (nowMs > flow.request.deadlineAtMs) {
                    expireRequest(entry, flow.request.id);
                }
                return;
            // Admission drops a queued request at its deadline, and the calls of a claim have time limits.
            case "queued":
            case "claiming":
            case "done":
                return;
        }
    });
};

const watchFlow = (entry: EntryContext, flow: RequestFlow, nowMs: number): void => {
    const { answerByMs } = flow.request;
    if (answerByMs !== undefined && nowMs > answerByMs && flow.phase === "sending") {
        rejectFlow(entry, flow, {
            status: 504,
            cause: "deadline",
            verdict: "not-run",
            message: "the endpoint did not answer within almondusher-timeout-ms",
        });
        return;
    }
    flow.running
        .filter(attempt => isLost(flow, attempt, nowMs))
        .forEach(attempt => failLostAttempt(entry, flow, attempt));
    if (flow.phase === "sending" && needsHedge(entry, flow, nowMs)) {
        hedge(entry, flow);
    }
};

const silenceOf = (attempt: Attempt, nowMs: number): number =>
    nowMs - (attempt.exchange?.lastProgressAt ?? attempt.startedAtMs);

const isLost = (flow: RequestFlow, attempt: Attempt, nowMs: number): boolean => {
    const { exchange } = attempt;
    if (exchange === undefined || exchange.waitsForCaller) {
        return false;
    }
    const verdict = watchProgress({
        now: nowMs,
        lastProgressAt: exchange.lastProgressAt,
        progressIntervalMs: flow.pool.view.pool.progressIntervalMs,
        headSeen: exchange.headReceived,
        waitsForCaller: false,
    });
    return verdict === "lost" || silenceOf(attempt, nowMs) > flow.request.route.timeoutMs;
};

// An endpoint that announces progress is watched by its interval instead.
const needsHedge = (entry: EntryContext, flow: RequestFlow, nowMs: number): boolean =>
    flow.request.idempotent &&
    !flow.hedged &&
    nowMs >= flow.hedgeAgainAtMs &&
    flow.pool.view.pool.progressIntervalMs === undefined &&
    (flow.body?.canReplay() ?? true) &&
    flow.running.length === 1 &&
    flow.running.every(
        attempt => attempt.exchange?.waitsForCaller !== true && silenceOf(attempt, nowMs) > hedgeAfterMs(entry, flow),
    );

/** Silence after which an idempotent request gets a second attempt. */
const hedgeAfterMs = (entry: EntryContext, flow: RequestFlow): number => {
    const { hedgeMinMs, hedgeFactor } = entry.settings.limits;
    const learned = runTimeOf(entry.runTimes, flow.request.route.name);
    return Math.max(hedgeMinMs, hedgeFactor * (learned?.high ?? 0));
};

const hedge = (entry: EntryContext, flow: RequestFlow): void => {
    flow.hedged = true;
    const [silent] = flow.running;
    if (silent === undefined) {
        return;
    }
    const { route } = flow.request;
    count(entry.counters, { name: "probes", route: route.name, pool: route.pool, vm: silent.vm.id });
    void probeEndpoint(entry.connections, silent.vm.address, entry.settings.timing.connectTimeoutMs).then(result => {
        if (flow.phase !== "sending" || !flow.running.includes(silent)) {
            return;
        }
        switch (result.kind) {
            case "unreachable":
                failLostAttempt(entry, flow, silent);
                return;
            case "alive":
            case "silent":
                startHedge(entry, flow);
                return;
        }
    });
};

const startHedge = (entry: EntryContext, flow: RequestFlow): void => {
    const { route } = flow.request;
    if (spendRetry(flow.pool, monotonicMs())) {
        count(entry.counters, { name: "hedges", route: route.name, pool: route.pool });
        sendAttempt(entry, flow, "hedge");
    }
    if (flow.running.length < 2) {
        // Without a token or a free slot now, the request must not be left to a connection that may be lost.
        flow.hedged = false;
        flow.hedgeAgainAtMs = monotonicMs() + entry.settings.limits.hedgeMinMs;
    }
};
