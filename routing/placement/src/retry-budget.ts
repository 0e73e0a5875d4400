/** Retries that a pool may still make; it bounds the load that retries add to a failing pool. */
export interface RetryBudget {
    /** Own tokens, one for each retry. */
    readonly tokens: number;
    /** Time in milliseconds of the last minimum refill. */
    readonly refilledAt: number;
    /** Tokens lent by peers. */
    readonly allowance: number;
    /** Time in milliseconds until which the allowance may be used. */
    readonly allowanceUntil: number;
}

export interface RetrySettings {
    /** Tokens earned by each success. */
    readonly earnedShare: number;
    /** Tokens a second earned without any success, so that a quiet pool can retry. */
    readonly minimumPerSecond: number;
    readonly maxTokens: number;
}

/** Outcome of a request for a retry. */
export interface RetryDecision {
    readonly granted: boolean;
    readonly budget: RetryBudget;
}

/** Defaults: a tenth of the successes, at least one retry in two seconds. */
const defaultRetrySettings: RetrySettings = { earnedShare: 0.1, minimumPerSecond: 0.5, maxTokens: 100 };

// Tokens that a quiet pool starts with and is refilled up to.
const MINIMUM_TOKENS = 3;
const MS_PER_SECOND = 1_000;

/** A budget at the start of a process. */
export const createRetryBudget = (now: number): RetryBudget => ({
    tokens: MINIMUM_TOKENS,
    refilledAt: now,
    allowance: 0,
    allowanceUntil: now,
});

/** Earns the share of one success. */
export const earnRetry = (budget: RetryBudget, settings: RetrySettings = defaultRetrySettings): RetryBudget => ({
    ...budget,
    tokens: Math.min(settings.maxTokens, budget.tokens + settings.earnedShare),
});

/** Takes a token for one retry or hedge: an own one first, then one lent by peers. */
export const takeRetry = (
    budget: RetryBudget,
    now: number,
    settings: RetrySettings = defaultRetrySettings,
): RetryDecision => {
    const refilled = refill(budget, now, settings);
    if (refilled.tokens >= 1) {
        return { granted: true, budget: { ...refilled, tokens: refilled.tokens - 1 } };
    }
    if (refilled.allowance >= 1 && now < refilled.allowanceUntil) {
        return { granted: true, budget: { ...refilled, allowance: refilled.allowance - 1 } };
    }
    return { granted: false, budget: refilled };
};

/** Tokens that can be lent to peers while keeping the minimum. */
export const spareRetries = (budget: RetryBudget): number =>
    Math.floor(Math.max(0, budget.tokens - MINIMUM_TOKENS) / 2);

/** Gives tokens away to a peer; never more than are spare. */
export const lendRetries = (budget: RetryBudget, tokens: number): RetryBudget => ({
    ...budget,
    tokens: budget.tokens - Math.min(Math.max(0, tokens), spareRetries(budget)),
});

/** Replaces the allowance with one lent by peers until the given time. */
export const allowRetries = (budget: RetryBudget, tokens: number, until: number): RetryBudget => ({
    ...budget,
    allowance: Math.max(0, tokens),
    allowanceUntil: until,
});

const refill = (budget: RetryBudget, now: number, settings: RetrySettings): RetryBudget => {
    const elapsedMs = Math.max(0, now - budget.refilledAt);
    const earned = (elapsedMs / MS_PER_SECOND) * settings.minimumPerSecond;
    // The minimum fills up to a few tokens only; beyond that they are earned by successes.
    const tokens = Math.max(budget.tokens, Math.min(MINIMUM_TOKENS, budget.tokens + earned));
    return { ...budget, tokens, refilledAt: Math.max(now, budget.refilledAt) };
};
