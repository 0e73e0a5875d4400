import type { Protocol } from "./protocol.js";

/** Rules of the protocol; without any one of them the explorer must find a broken invariant. */
export const claimGuards = [
    "claim-condition",
    "read-back-own-claim",
    "release-only-on-evidence",
    "release-condition",
    "new-claim-after-release",
    "undecided-is-may-have-run",
] as const;
export type ClaimGuard = (typeof claimGuards)[number];

/** The stored claim row of an idempotency key. */
interface Claim {
    readonly state: "absent" | "held" | "released" | "ran";
    readonly claimId: string;
}

/** Verdict returned to the caller. */
type Verdict = "not-run" | "may-have-run" | "ran";

interface Attempt {
    readonly phase: "new" | "undecided" | "claimed" | "sent" | "run" | "refused" | "releasing" | "released" | "ended";
    readonly claimNumber: number;
    /** Number of times that the attempt has sent the request to an endpoint. */
    readonly dispatches: number;
    /** Absent while the attempt runs and if its entry crashed. */
    readonly verdict?: Verdict;
    /** The attempt was rejected because of a claim that it holds itself. */
    readonly refusedByOwnClaim: boolean;
    /** An attempt with the same key had sent the request and ended before this one started. */
    readonly startedAfterSend: boolean;
}

interface Write {
    readonly kind: "claim" | "release" | "ran";
    readonly claimId: string;
}

export interface ClaimState {
    readonly claim: Claim;
    /** One attempt per entry, all with the same idempotency key. */
    readonly attempts: readonly Attempt[];
    /** Writes that still take effect after the entry stopped waiting for their answers. */
    readonly delayedWrites: readonly Write[];
    /** Number of times that an endpoint ran the request. */
    readonly runs: number;
    /** Requests that an endpoint may still run although their entry no longer waits for the answer. */
    readonly orphanedRequests: number;
    /** At least one attempt ended after it had sent the request. */
    readonly hasEndedAfterSend: boolean;
    readonly faults: number;
}

export type ClaimStep =
    | {
          readonly type:
              | "claim"
              | "claim-answer-lost"
              | "claim-delayed"
              | "give-up"
              | "reject-unavailable"
              | "dispatch"
              | "run"
              | "refuse"
              | "connection-lost"
              | "mark-ran"
              | "retry"
              | "release"
              | "release-answer-lost"
              | "release-delayed"
              | "end-released"
              | "claim-again"
              | "die";
          readonly entry: number;
      }
    | { readonly type: "late-write"; readonly index: number }
    | { readonly type: "orphan-runs" | "orphan-refused" };

export interface ClaimOptions {
    readonly disabledGuard?: ClaimGuard;
    readonly maxFaults: number;
    readonly entries: number;
}

const MAX_DISPATCHES = 2;

const faultTypes: readonly ClaimStep["type"][] = [
    "claim-answer-lost",
    "claim-delayed",
    "reject-unavailable",
    "connection-lost",
    "release-answer-lost",
    "release-delayed",
    "die",
];

const claimIdOf = (entry: number, attempt: Attempt): string => `${entry}.${attempt.claimNumber}`;

const applyWrite = (claim: Claim, { kind, claimId }: Write, disabledGuard: ClaimGuard | undefined): Claim => {
    const isHeldByWriter =
        claim.state === "held" && (claim.claimId === claimId || disabledGuard === "release-condition");
    switch (kind) {
        case "claim":
            return disabledGuard === "claim-condition" || claim.state === "absent" || claim.state === "released"
                ? { state: "held", claimId }
                : claim;
        case "release":
            return isHeldByWriter ? { state: "released", claimId } : claim;
        case "ran":
            return isHeldByWriter ? { state: "ran", claimId } : claim;
    }
};

const changeAttempt = (state: ClaimState, entry: number, changes: Partial<Attempt>): ClaimState => ({
    ...state,
    attempts: state.attempts.map((attempt, index) => (index === entry ? { ...attempt, ...changes } : attempt)),
});

const attemptOf = (state: ClaimState, entry: number): Attempt => state.attempts[entry] as Attempt;

const endAttempt = (state: ClaimState, entry: number, verdict: Verdict): ClaimState =>
    changeAttempt(state, entry, { phase: "ended", verdict });

/** Ends an attempt whose request was sent and so may have run. */
const endAttemptAfterSend = (state: ClaimState, entry: number, verdict: Verdict): ClaimState => ({
    ...endAttempt(state, entry, verdict),
    hasEndedAfterSend: true,
});

// An attempt starts with its first step, which records whether another attempt has ended after it sent the request.
const startAttempt = (state: ClaimState, entry: number): ClaimState =>
    attemptOf(state, entry).phase === "new"
        ? changeAttempt(state, entry, { startedAfterSend: state.hasEndedAfterSend })
        : state;

const resolveClaim = (
    state: ClaimState,
    entry: number,
    before: Claim,
    disabledGuard: ClaimGuard | undefined,
): ClaimState => {
    const isOwnClaim = isHeldBy(state.claim, entry, attemptOf(state, entry));
    if (isOwnClaim && (before !== state.claim || disabledGuard !== "read-back-own-claim")) {
        return changeAttempt(state, entry, { phase: "claimed" });
    }
    const refused = changeAttempt(state, entry, { refusedByOwnClaim: isOwnClaim });
    return endAttempt(refused, entry, state.claim.state === "ran" ? "ran" : "may-have-run");
};

const claim = (state: ClaimState, entry: number, disabledGuard: ClaimGuard | undefined): ClaimState => {
    const claimId = claimIdOf(entry, attemptOf(state, entry));
    const next = { ...state, claim: applyWrite(state.claim, { kind: "claim", claimId }, disabledGuard) };
    return resolveClaim(next, entry, state.claim, disabledGuard);
};

const writeClaim = (
    state: ClaimState,
    entry: number,
    kind: Write["kind"],
    disabledGuard: ClaimGuard | undefined,
): ClaimState => ({
    ...state,
    claim: applyWrite(state.claim, { kind, claimId: claimIdOf(entry, attemptOf(state, entry)) }, disabledGuard),
});

const delayWrite = (state: ClaimState, entry: number, kind: Write["kind"]): ClaimState => ({
    ...state,
    delayedWrites: [...state.delayedWrites, { kind, claimId: claimIdOf(entry, attemptOf(state, entry)) }],
});

const undecidedVerdict = (disabledGuard: ClaimGuard | undefined): Verdict =>
    disabledGuard === "undecided-is-may-have-run" ? "not-run" : "may-have-run";

const loseConnection = (state: ClaimState, entry: number, disabledGuard: ClaimGuard | undefined): ClaimState => {
    const orphanedRequests =
        attemptOf(state, entry).phase === "sent" ? state.orphanedRequests + 1 : state.orphanedRequests;
    const lost = { ...state, orphanedRequests, hasEndedAfterSend: true };
    return disabledGuard === "release-only-on-evidence"
        ? changeAttempt(lost, entry, { phase: "refused" })
        : endAttempt(lost, entry, "may-have-run");
};

const crashEntry = (state: ClaimState, entry: number): ClaimState => {
    const { phase } = attemptOf(state, entry);
    const crashed = changeAttempt(state, entry, { phase: "ended" });
    return {
        ...crashed,
        orphanedRequests: phase === "sent" ? state.orphanedRequests + 1 : state.orphanedRequests,
        hasEndedAfterSend: state.hasEndedAfterSend || phase === "sent" || phase === "run",
    };
};

const applyDelayedWrite = (state: ClaimState, index: number, disabledGuard: ClaimGuard | undefined): ClaimState => {
    const delayed = state.delayedWrites[index];
    return delayed === undefined
        ? state
        : {
              ...state,
              claim: applyWrite(state.claim, delayed, disabledGuard),
              delayedWrites: state.delayedWrites.filter((unused, other) => other !== index),
          };
};

const applyEntryStep = (
    earlier: ClaimState,
    step: Extract<ClaimStep, { entry: number }>,
    disabledGuard: ClaimGuard | undefined,
): ClaimState => {
    const { entry } = step;
    const state = startAttempt(earlier, entry);
    const attempt = attemptOf(state, entry);
    switch (step.type) {
        case "claim":
            return claim(state, entry, disabledGuard);
        case "claim-answer-lost":
            return changeAttempt(writeClaim(state, entry, "claim", disabledGuard), entry, { phase: "undecided" });
        case "claim-delayed":
            return changeAttempt(delayWrite(state, entry, "claim"), entry, { phase: "undecided" });
        case "give-up":
        case "reject-unavailable":
            return endAttempt(state, entry, undecidedVerdict(disabledGuard));
        case "dispatch":
            return changeAttempt(state, entry, { phase: "sent", dispatches: attempt.dispatches + 1 });
        case "run":
            return { ...changeAttempt(state, entry, { phase: "run" }), runs: state.runs + 1 };
        case "refuse":
        case "retry":
            return changeAttempt(state, entry, { phase: step.type === "refuse" ? "refused" : "claimed" });
        case "connection-lost":
            return loseConnection(state, entry, disabledGuard);
        case "mark-ran":
            return endAttemptAfterSend(writeClaim(state, entry, "ran", disabledGuard), entry, "ran");
        case "release":
            return changeAttempt(writeClaim(state, entry, "release", disabledGuard), entry, { phase: "released" });
        case "release-answer-lost":
            return changeAttempt(writeClaim(state, entry, "release", disabledGuard), entry, { phase: "releasing" });
        case "release-delayed":
            return changeAttempt(delayWrite(state, entry, "release"), entry, { phase: "releasing" });
        case "end-released":
            return endAttempt(state, entry, "not-run");
        case "claim-again":
            return changeAttempt(state, entry, {
                phase: "undecided",
                claimNumber: attempt.claimNumber + (disabledGuard === "new-claim-after-release" ? 0 : 1),
            });
        case "die":
            return crashEntry(state, entry);
    }
};

const applyStep = (state: ClaimState, step: ClaimStep, disabledGuard: ClaimGuard | undefined): ClaimState => {
    if ("entry" in step) {
        return applyEntryStep(state, step, disabledGuard);
    }
    switch (step.type) {
        case "late-write":
            return applyDelayedWrite(state, step.index, disabledGuard);
        case "orphan-runs":
            return { ...state, orphanedRequests: state.orphanedRequests - 1, runs: state.runs + 1 };
        case "orphan-refused":
            return { ...state, orphanedRequests: state.orphanedRequests - 1 };
    }
};

const stepTypes = (attempt: Attempt): readonly Extract<ClaimStep, { entry: number }>["type"][] => {
    switch (attempt.phase) {
        case "new":
            return ["claim", "claim-answer-lost", "claim-delayed", "reject-unavailable"];
        case "undecided":
            return ["claim", "claim-answer-lost", "claim-delayed", "give-up", "die"];
        case "claimed":
            return ["dispatch", "die"];
        case "sent":
            return ["run", "refuse", "connection-lost", "die"];
        case "run":
            return ["mark-ran", "connection-lost", "die"];
        case "refused":
            return attempt.dispatches < MAX_DISPATCHES
                ? ["retry", "release", "release-answer-lost", "release-delayed", "die"]
                : ["release", "release-answer-lost", "release-delayed", "die"];
        case "releasing":
            return ["release", "end-released", "die"];
        case "released":
            return attempt.dispatches < MAX_DISPATCHES
                ? ["claim-again", "end-released", "die"]
                : ["end-released", "die"];
        case "ended":
            return [];
    }
};

const isFault = (step: ClaimStep): boolean => faultTypes.includes(step.type);

const isHeldBy = (claim: Claim, entry: number, attempt: Attempt): boolean =>
    claim.state === "held" && claim.claimId === claimIdOf(entry, attempt);

const findViolations = (state: ClaimState): readonly string[] => [
    ...(state.runs > 1 ? ["the request ran more than once"] : []),
    ...state.attempts
        .filter(attempt => attempt.refusedByOwnClaim)
        .map(() => "an attempt was refused because of its own claim"),
    ...state.attempts
        .filter(attempt => attempt.verdict === "not-run" && attempt.startedAfterSend)
        .map(() => "not-run was said of a key whose request had been sent"),
];

/**
 * Models claims on an idempotency key: concurrent attempts with the same key at several entries, of which at most one may
 * run the request.
 */
export const claimProtocol = (options: ClaimOptions): Protocol<ClaimState, ClaimStep> => ({
    name: "claims",
    initial: {
        claim: { state: "absent", claimId: "" },
        attempts: Array.from({ length: options.entries }, () => ({
            phase: "new",
            claimNumber: 1,
            dispatches: 0,
            refusedByOwnClaim: false,
            startedAfterSend: false,
        })),
        delayedWrites: [],
        runs: 0,
        orphanedRequests: 0,
        hasEndedAfterSend: false,
        faults: 0,
    },
    steps: state =>
        [
            ...state.attempts.flatMap((attempt, entry) =>
                stepTypes(attempt).map((type): ClaimStep => ({ type, entry })),
            ),
            ...state.delayedWrites.map((unused, index): ClaimStep => ({ type: "late-write", index })),
            ...(state.orphanedRequests > 0
                ? [{ type: "orphan-runs" } as const, { type: "orphan-refused" } as const]
                : []),
        ].filter(step => !isFault(step) || state.faults < options.maxFaults),
    apply: (state, step) => {
        const next = applyStep(state, step, options.disabledGuard);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    violations: findViolations,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.attempts.every(({ phase }) => phase === "ended") &&
        state.delayedWrites.length === 0 &&
        state.orphanedRequests === 0,
});
