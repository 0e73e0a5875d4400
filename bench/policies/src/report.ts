import { describeQueues, type LoadProfile } from "./scenario.js";
import type { Summary } from "./summary.js";

/** A table of the report: the variants compared for an installation, a load profile and a topic, one row each. */
export interface Table {
    readonly installation: string;
    readonly profile: LoadProfile;
    readonly topic: string;
    readonly rows: readonly Summary[];
}

/** Command, seed and date of the run. */
export interface RunMetadata {
    readonly command: string;
    readonly seed: number;
    readonly date: string;
}

const COLUMNS: readonly { readonly title: string; readonly cell: (row: Summary) => string }[] = [
    { title: "variant", cell: row => row.variant },
    { title: "other work within target", cell: row => percent(row.withinTarget) },
    { title: "same, quiet run", cell: row => percent(row.withinTargetQuiet) },
    { title: "worst p99 ratio", cell: row => `${row.worstRatio.toFixed(2)} (${row.worstQueue})` },
    { title: "same queue, other teams within target", cell: row => percent(row.otherTeamsWithinTarget) },
    { title: "flooding queue answered", cell: row => percent(row.floodAnswered) },
    { title: "slots used in the flood", cell: row => percent(row.slotsUsed) },
    { title: "urgent starts within 1.4 s", cell: row => percent(row.urgentInTime) },
    {
        title: "urgent wait p99 / max, ms",
        cell: row => `${row.urgentP99Ms.toFixed(0)} / ${row.urgentMaxMs.toFixed(0)}`,
    },
    { title: "other work rejected", cell: row => row.rejectedOthers },
    { title: "flooding queue rejected", cell: row => row.rejectedFlood },
    { title: "endpoint refusals", cell: row => String(row.refusals) },
    { title: "messages/s per pool", cell: row => row.messagesPerSecond.toFixed(0) },
    { title: "slots moved/s per pool", cell: row => row.movedPerSecond.toFixed(1) },
];

/** Formats the report as Markdown. */
export const formatReport = (tables: readonly Table[], metadata: RunMetadata): string =>
    [
        "# Measurements: slot sharing and admission",
        `Command: \`${metadata.command}\`; seed ${metadata.seed}; ${metadata.date}. A discrete-event simulation in one process runs the functions of \`@almondusher/admission\` and \`@almondusher/slots\` and their baselines on the same recorded arrivals; its times are simulated ones. The same seed gives the same figures.`,
        "A flood lasts 6 s; requests that arrive during it or in the 3 s after it count. *Other work* is everything but the flooding queue. An answer is within target if it takes no longer than its own run time plus the allowance of its queue. The *worst p99 ratio* compares the 99th percentile of the latency with that of the same arrivals without the flood, for the queue of short work that suffers most; it counts answered requests only. An urgent request that never starts is not within 1.4 s. Messages are those of one pool; an implementation sends those of all pools to the same peer together.",
        ...(["steady", "turns"] as const).map(describeProfile),
        "Profile *long work*: as *steady*, but the three queues of long work flood together. Profile *least then most urgent*: as *steady*, but deferrable-long floods for 18 s and urgent-short for the next 6 s; both count as flooding.",
        ...tables.map(formatTable),
    ].join("\n\n") + "\n";

const describeProfile = (profile: LoadProfile): string =>
    [
        profile === "steady"
            ? "Profile *steady*: all queues run at their mean while one floods at five times its mean, or more until all queues together ask for 1.5 times the slots of the pool. Queues:"
            : "Profile *turns*: one queue at a time runs at five times its mean, the others at a twentieth. Queues:",
        "",
        ...describeQueues(profile).map(line => `- ${line}`),
    ].join("\n");

const formatTable = ({ installation, profile, topic, rows }: Table): string =>
    [
        `## ${installation}, ${profile}: ${topic}`,
        "",
        formatRow(COLUMNS.map(column => column.title)),
        formatRow(COLUMNS.map(() => "---")),
        ...rows.map(row => formatRow(COLUMNS.map(column => column.cell(row)))),
    ].join("\n");

const formatRow = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;

const PERCENT = 100;

const percent = (share: number): string => (Number.isNaN(share) ? "-" : `${(share * PERCENT).toFixed(2)}%`);
