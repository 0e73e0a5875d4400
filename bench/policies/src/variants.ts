import { defaultLimits, type Installation, type LoadProfile, type Variant } from "./scenario.js";

/** Variants that run on the same recordings; one table of the report. */
export interface Comparison {
    readonly installation: Installation;
    readonly profile: LoadProfile;
    readonly topic: "slots" | "admission" | "quick share";
    readonly variants: readonly Variant[];
}

const union = { name: "Union", pools: 5, vmsPerPool: 7, entries: 7, peerDelayMs: 1, endpointDelayMs: 0.5 };
const lapidaria = { name: "Lapidaria", pools: 5, vmsPerPool: 8, entries: 7, peerDelayMs: 1.5, endpointDelayMs: 0.75 };
// Target size of about 660 VMs in 96 pools; the peer delay is that between regions.
const target = { name: "target", pools: 96, vmsPerPool: 7, entries: 7, peerDelayMs: 5, endpointDelayMs: 0.75 };

const classes = { kind: "classes", limits: defaultLimits } as const;
const periodic = { kind: "grantor", reportIntervalMs: 500, allocationIntervalMs: 50 } as const;
const onDemand = { ...periodic, demandReportMs: 50 } as const;

const fixed: Variant = { name: "fixed partition", sharing: { kind: "fixed" }, admission: classes };
const twoChoices = (reportIntervalMs: number): Variant => ({
    name: `two choices, reports every ${reportIntervalMs} ms`,
    sharing: { kind: "two-choices", reportIntervalMs },
    admission: classes,
});
const chosen: Variant = { name: "grantor, reports on demand (chosen)", sharing: onDemand, admission: classes };
const perRequest: Variant = { name: "grant for each request", sharing: { kind: "per-request" }, admission: classes };

const slotVariants: readonly Variant[] = [
    fixed,
    twoChoices(500),
    twoChoices(100),
    { name: "grantor, reports every 500 ms", sharing: periodic, admission: classes },
    {
        name: "grantor, on demand, divides every 20 ms",
        sharing: { ...onDemand, allocationIntervalMs: 20 },
        admission: classes,
    },
    chosen,
    perRequest,
];

const borrowing = (name: string, borrowRunTimeMs: number): Variant => ({
    name,
    sharing: onDemand,
    admission: { kind: "classes", limits: { ...defaultLimits, borrowRunTimeMs } },
});
const fifo: Variant = {
    name: "one queue, first in first out",
    sharing: onDemand,
    admission: { kind: "fifo", maxQueued: 768 },
};
// Longest run time of requests that may borrow slots; below every run time, so that none may.
const NO_BORROWING_MS = -1;

const admissionVariants: readonly Variant[] = [
    fifo,
    borrowing("shares, nobody borrows", NO_BORROWING_MS),
    borrowing("shares, anybody borrows", Infinity),
    borrowing("shares, up to 100 ms borrow", 100),
    borrowing("shares, up to 500 ms borrow (chosen)", defaultLimits.borrowRunTimeMs),
    borrowing("shares, up to 2 s borrow", 2_000),
];

const quickShareVariants: readonly Variant[] = [0, 0.2, 0.3, 0.4, 0.5, 0.6].map(quickShare => ({
    name: `up to ${quickShare} kept for short work${quickShare === defaultLimits.quickShare ? " (chosen)" : ""}`,
    sharing: onDemand,
    admission: { kind: "classes", limits: { ...defaultLimits, quickShare } },
}));

const REPETITIONS = 3;

/** All tables of the report. */
export const comparisons: readonly Comparison[] = [
    ...[union, lapidaria].flatMap(size => {
        const installation = { ...size, repetitions: REPETITIONS };
        return (["steady", "turns"] as const).flatMap(profile => [
            { installation, profile, topic: "slots" as const, variants: slotVariants },
            { installation, profile, topic: "admission" as const, variants: admissionVariants },
        ]);
    }),
    ...[union, lapidaria].flatMap(size =>
        [
            { profile: "least then most urgent" as const, topic: "admission" as const, variants: admissionVariants },
            { profile: "steady" as const, topic: "quick share" as const, variants: quickShareVariants },
            { profile: "long work" as const, topic: "quick share" as const, variants: quickShareVariants },
        ].map(part => ({ installation: { ...size, repetitions: REPETITIONS }, ...part })),
    ),
    ...[target.entries, 14, 28].map(entries => ({
        installation: { ...target, name: `target, ${entries} entries`, entries, repetitions: 1 },
        profile: "steady" as const,
        topic: "slots" as const,
        variants: entries === target.entries ? [fixed, twoChoices(100), chosen, perRequest] : [chosen, perRequest],
    })),
    {
        installation: { ...target, name: `target, ${target.entries} entries`, repetitions: 1 },
        profile: "steady",
        topic: "admission",
        variants: [
            fifo,
            borrowing("shares, anybody borrows", Infinity),
            { ...chosen, name: "shares, up to 500 ms borrow (chosen)" },
        ],
    },
];
