import type { Protocol } from "./protocol.js";

/** Rules whose removal must break an invariant. */
export const claimGuards = [
    "claim-condition",
    "read-back-own-claim",
    "release-only-on-evidence",
    "release-condition",
    "new-claim-after-release",
    "undecided-is-may-have-run",
] as const;
export type ClaimGuard = (typeof claimGuards)[number];

/** The claim in the table service. */
interface Claim {
    readonly state: "absent" | "held" | "released" | "ran";
    readonly claimId: string;
}

/** What a caller was told; undefined for a connection that broke. */
type Told = "not-run" | "may-have-run" | "ran";

interface Attempt {
    readonly phase: "new" | "undecided" | "claimed" | "sent" | "run" | "refused" | "releasing" | "released" | "ended";
    readonly claimNumber: number;
    readonly dispatches: number;
    readonly told?: Told;
    /** Told that another attempt holds the claim when it was its own. */
    readonly refusedByOwnClaim: boolean;
    /** An earlier attempt with the key had ended as sent when this one began. */
    readonly afterSent: boolean;
}

interface Write {
    readonly kind: "claim" | "release" | "ran";
    readonly claimId: string;
}

export interface ClaimState {
    readonly claim: Claim;
    /** One attempt at each entry, all with the same key. */
    readonly attempts: readonly Attempt[];
    readonly lateWrites: readonly Write[];
    /** Times that an endpoint ran the request. */
    readonly runs: number;
    /** Requests at an endpoint whose entry has stopped waiting. */
    readonly orphans: number;
    /** Attempts that ended after the request was sent. */
    readonly endedSent: boolean;
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
    readonly without?: ClaimGuard;
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

const transact = (claim: Claim, { kind, claimId }: Write, without: ClaimGuard | undefined): Claim => {
    const isMine = claim.state === "held" && (claim.claimId === claimId || without === "release-condition");
    switch (kind) {
        case "claim":
            return without === "claim-condition" || claim.state === "absent" || claim.state === "released"
                ? { state: "held", claimId }
                : claim;
        case "release":
            return isMine ? { state: "released", claimId } : claim;
        case "ran":
            return isMine ? { state: "ran", claimId } : claim;
    }
};

const change = (state: ClaimState, entry: number, parts: Partial<Attempt>): ClaimState => ({
    ...state,
    attempts: state.attempts.map((attempt, index) => (index === entry ? { ...attempt, ...parts } : attempt)),
});

const attemptOf = (state: ClaimState, entry: number): Attempt => state.attempts[entry] as Attempt;

const end = (state: ClaimState, entry: number, told: Told): ClaimState =>
    change(state, entry, { phase: "ended", told });

/** Ends an attempt whose request was sent and may have run. */
const endSent = (state: ClaimState, entry: number, told: Told): ClaimState => ({
    ...end(state, entry, told),
    endedSent: true,
});

// Attempts of which nothing is known yet about the key begin when they first act.
const begin = (state: ClaimState, entry: number): ClaimState =>
    attemptOf(state, entry).phase === "new" ? change(state, entry, { afterSent: state.endedSent }) : state;

const decide = (state: ClaimState, entry: number, before: Claim, without: ClaimGuard | undefined): ClaimState => {
    const isOwn = isHeldBy(state.claim, entry, attemptOf(state, entry));
    if (isOwn && (before !== state.claim || without !== "read-back-own-claim")) {
        return change(state, entry, { phase: "claimed" });
    }
    const refused = change(state, entry, { refusedByOwnClaim: isOwn });
    return end(refused, entry, state.claim.state === "ran" ? "ran" : "may-have-run");
};

const claim = (state: ClaimState, entry: number, without: ClaimGuard | undefined): ClaimState => {
    const claimId = claimIdOf(entry, attemptOf(state, entry));
    const next = { ...state, claim: transact(state.claim, { kind: "claim", claimId }, without) };
    return decide(next, entry, state.claim, without);
};

const write = (state: ClaimState, entry: number, kind: Write["kind"], without: ClaimGuard | undefined): ClaimState => ({
    ...state,
    claim: transact(state.claim, { kind, claimId: claimIdOf(entry, attemptOf(state, entry)) }, without),
});

const delay = (state: ClaimState, entry: number, kind: Write["kind"]): ClaimState => ({
    ...state,
    lateWrites: [...state.lateWrites, { kind, claimId: claimIdOf(entry, attemptOf(state, entry)) }],
});

const undecidedVerdict = (without: ClaimGuard | undefined): Told =>
    without === "undecided-is-may-have-run" ? "not-run" : "may-have-run";

const loseConnection = (state: ClaimState, entry: number, without: ClaimGuard | undefined): ClaimState => {
    const orphans = attemptOf(state, entry).phase === "sent" ? state.orphans + 1 : state.orphans;
    const lost = { ...state, orphans, endedSent: true };
    return without === "release-only-on-evidence"
        ? change(lost, entry, { phase: "refused" })
        : end(lost, entry, "may-have-run");
};

const die = (state: ClaimState, entry: number): ClaimState => {
    const { phase } = attemptOf(state, entry);
    const died = change(state, entry, { phase: "ended" });
    return {
        ...died,
        orphans: phase === "sent" ? state.orphans + 1 : state.orphans,
        endedSent: state.endedSent || phase === "sent" || phase === "run",
    };
};

const arriveLate = (state: ClaimState, index: number, without: ClaimGuard | undefined): ClaimState => {
    const late = state.lateWrites[index];
    return late === undefined
        ? state
        : {
              ...state,
              claim: transact(state.claim, late, without),
              lateWrites: state.lateWrites.filter((unused, other) => other !== index),
          };
};

const applyEntryStep = (
    earlier: ClaimState,
    step: Extract<ClaimStep, { entry: number }>,
    without: ClaimGuard | undefined,
): ClaimState => {
    const { entry } = step;
    const state = begin(earlier, entry);
    const attempt = attemptOf(state, entry);
    switch (step.type) {
        case "claim":
            return claim(state, entry, without);
        case "claim-answer-lost":
            return change(write(state, entry, "claim", without), entry, { phase: "undecided" });
        case "claim-delayed":
            return change(delay(state, entry, "claim"), entry, { phase: "undecided" });
        case "give-up":
        case "reject-unavailable":
            return end(state, entry, undecidedVerdict(without));
        case "dispatch":
            return change(state, entry, { phase: "sent", dispatches: attempt.dispatches + 1 });
        case "run":
            return { ...change(state, entry, { phase: "run" }), runs: state.runs + 1 };
        case "refuse":
        case "retry":
            return change(state, entry, { phase: step.type === "refuse" ? "refused" : "claimed" });
        case "connection-lost":
            return loseConnection(state, entry, without);
        case "mark-ran":
            return endSent(write(state, entry, "ran", without), entry, "ran");
        case "release":
            return change(write(state, entry, "release", without), entry, { phase: "released" });
        case "release-answer-lost":
            return change(write(state, entry, "release", without), entry, { phase: "releasing" });
        case "release-delayed":
            return change(delay(state, entry, "release"), entry, { phase: "releasing" });
        case "end-released":
            return end(state, entry, "not-run");
        case "claim-again":
            return change(state, entry, {
                phase: "undecided",
                claimNumber: attempt.claimNumber + (without === "new-claim-after-release" ? 0 : 1),
            });
        case "die":
            return die(state, entry);
    }
};

const applyStep = (state: ClaimState, step: ClaimStep, without: ClaimGuard | undefined): ClaimState => {
    if ("entry" in step) {
        return applyEntryStep(state, step, without);
    }
    switch (step.type) {
        case "late-write":
            return arriveLate(state, step.index, without);
        case "orphan-runs":
            return { ...state, orphans: state.orphans - 1, runs: state.runs + 1 };
        case "orphan-refused":
            return { ...state, orphans: state.orphans - 1 };
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
        .filter(attempt => attempt.told === "not-run" && attempt.afterSent)
        .map(() => "not-run was said of a key whose request had been sent"),
];

/** The protocol of claims: attempts with the same key at several entries. */
export const claimProtocol = (options: ClaimOptions): Protocol<ClaimState, ClaimStep> => ({
    name: "claims",
    initial: {
        claim: { state: "absent", claimId: "" },
        attempts: Array.from({ length: options.entries }, () => ({
            phase: "new",
            claimNumber: 1,
            dispatches: 0,
            refusedByOwnClaim: false,
            afterSent: false,
        })),
        lateWrites: [],
        runs: 0,
        orphans: 0,
        endedSent: false,
        faults: 0,
    },
    steps: state =>
        [
            ...state.attempts.flatMap((attempt, entry) =>
                stepTypes(attempt).map((type): ClaimStep => ({ type, entry })),
            ),
            ...state.lateWrites.map((unused, index): ClaimStep => ({ type: "late-write", index })),
            ...(state.orphans > 0 ? [{ type: "orphan-runs" } as const, { type: "orphan-refused" } as const] : []),
        ].filter(step => !isFault(step) || state.faults < options.maxFaults),
    apply: (state, step) => {
        const next = applyStep(state, step, options.without);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    violations: findViolations,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.attempts.every(({ phase }) => phase === "ended") && state.lateWrites.length === 0 && state.orphans === 0,
});
