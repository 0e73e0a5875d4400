/** Retry budget of a pool, which limits the load that retries add while the pool is failing. */
export interface RetryBudget {
    /** Own tokens; each retry takes one. */
    readonly tokens: number;
    /** Time in milliseconds of the last refill at the minimum rate. */
    readonly refilledAt: number;
    /** Tokens borrowed from peers. */
    readonly borrowedTokens: number;
    /** Time in milliseconds at which the borrowed tokens expire. */
    readonly borrowedUntil: number;
}

export interface RetrySettings {
    /** Tokens earned per success. */
    readonly earnedShare: number;
    /** Tokens per second that are earned without any success, so that a pool with little traffic can retry. */
    readonly minimumPerSecond: number;
    readonly maxTokens: number;
}

/** Whether a retry is permitted, and the budget after the decision. */
export interface RetryDecision {
    readonly granted: boolean;
    readonly budget: RetryBudget;
}

/** Defaults: one retry per ten successes, and at least one every two seconds. */
const defaultRetrySettings: RetrySettings = { earnedShare: 0.1, minimumPerSecond: 0.5, maxTokens: 100 };

// Tokens that a pool starts with, and up to which it is refilled at the minimum rate.
const MINIMUM_TOKENS = 3;
const MS_PER_SECOND = 1_000;

/** Creates the budget of a pool at process start. */
export const createRetryBudget = (now: number): RetryBudget => ({
    tokens: MINIMUM_TOKENS,
    refilledAt: now,
    borrowedTokens: 0,
    borrowedUntil: now,
});

/** Adds the tokens earned by one success. */
export const earnRetryTokens = (budget: RetryBudget, settings: RetrySettings = defaultRetrySettings): RetryBudget => ({
    ...budget,
    tokens: Math.min(settings.maxTokens, budget.tokens + settings.earnedShare),
});

/** Takes a token for one retry or hedged request: an own token first, then a borrowed one. */
export const spendRetryToken = (
    budget: RetryBudget,
    now: number,
    settings: RetrySettings = defaultRetrySettings,
): RetryDecision => {
    const refilled = refill(budget, now, settings);
    if (refilled.tokens >= 1) {
        return { granted: true, budget: { ...refilled, tokens: refilled.tokens - 1 } };
    }
    if (refilled.borrowedTokens >= 1 && now < refilled.borrowedUntil) {
        return { granted: true, budget: { ...refilled, borrowedTokens: refilled.borrowedTokens - 1 } };
    }
    return { granted: false, budget: refilled };
};

/** Number of tokens that can be lent to peers: half of those above the minimum. */
export const lendableTokens = (budget: RetryBudget): number =>
    Math.floor(Math.max(0, budget.tokens - MINIMUM_TOKENS) / 2);

/** Removes tokens that are lent to a peer, at most `lendableTokens`. */
export const lendTokens = (budget: RetryBudget, tokens: number): RetryBudget => ({
    ...budget,
    tokens: budget.tokens - Math.min(Math.max(0, tokens), lendableTokens(budget)),
});

/** Replaces the borrowed tokens, which expire at the given time. */
export const setBorrowedTokens = (budget: RetryBudget, tokens: number, until: number): RetryBudget => ({
    ...budget,
    borrowedTokens: Math.max(0, tokens),
    borrowedUntil: until,
});

const refill = (budget: RetryBudget, now: number, settings: RetrySettings): RetryBudget => {
    const elapsedMs = Math.max(0, now - budget.refilledAt);
    const earned = (elapsedMs / MS_PER_SECOND) * settings.minimumPerSecond;
    // The minimum rate refills up to MINIMUM_TOKENS only; further tokens are earned by successes.
    const tokens = Math.max(budget.tokens, Math.min(MINIMUM_TOKENS, budget.tokens + earned));
    return { ...budget, tokens, refilledAt: Math.max(now, budget.refilledAt) };
};
