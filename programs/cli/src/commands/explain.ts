import { Args, Flags } from "@oclif/core";
import type { EditRecord } from "@almondusher/fleet/edit";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import { toId } from "@almondusher/fleet/ids";
import type { Platform } from "@almondusher/platform/create-platform";
import { explain, type Explanation } from "@almondusher/telemetry/explain";
import { LOOKBACK_MS } from "@almondusher/telemetry/explain-input";
import { describeFault } from "@almondusher/telemetry/fault";
import { type StatusReport, statusReportSchema } from "@almondusher/telemetry/status-report";
import type { Subject } from "@almondusher/telemetry/subject-scope";
import { trafficReportSchema } from "@almondusher/telemetry/traffic-report";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { type CliSettings, loadCliSettings } from "../cli-settings.js";
import {
    fetchOperatorReports,
    describeFailures,
    findOperatorUrls,
    type OperatorResult,
    successfulReports,
} from "../operator-ports.js";
import { readLastEdits, readStateAt, withPlatform } from "../platform-access.js";
import { readVmListOrWarn } from "../read-vm-list.js";
import { parseSince } from "../parse-since.js";

const subjectKinds = ["route", "pool", "vm"] as const;

// Number of latest edits searched for causes of failures; covers two days at 830 edits per day.
const MAX_EDITS_SEARCHED = 1_660;

interface ExplainResult extends Explanation {
    /** Sources that could not be read, so that their data is missing from the explanation. */
    readonly warnings: readonly string[];
}

/** Attributes failures to an edit, an endpoint, the platform, the system, an overload or the caller. */
export class ExplainCommand extends BaseCommand {
    static override summary = "Explain the failures of a route, a pool or a VM";
    static override args = {
        kind: Args.string({
            required: true,
            options: [...subjectKinds],
            description: "kind of the subject to explain",
        }),
        name: Args.string({ required: true, description: "name of the route, pool or VM" }),
    };
    static override flags = {
        settings: settingsFlag,
        since: Flags.string({
            description: "a duration such as 90s, 15m, 2h, 1d, or a time in ISO 8601",
            default: "1h",
        }),
    };

    async run(): Promise<ExplainResult> {
        const { args, flags } = await this.parse(ExplainCommand);
        const settings = loadCliSettings(flags.settings);
        const toMs = Date.now();
        const fromMs = parseSince(flags.since, toMs);
        const subject = toSubject(args.kind as Subject["kind"], args.name);
        const explained = await withPlatform(settings, platform =>
            gatherAndExplain({ platform, settings, subject, fromMs, toMs }),
        );
        formatExplanation(explained).forEach(line => this.log(line));
        return explained;
    }
}

interface ExplainRequest {
    readonly platform: Platform;
    readonly settings: CliSettings;
    readonly subject: Subject;
    readonly fromMs: number;
    readonly toMs: number;
}

const toSubject = (kind: Subject["kind"], name: string): Subject => {
    switch (kind) {
        case "route":
            return { kind, name: toId(name) };
        case "pool":
            return { kind, name: toId(name) };
        case "vm":
            return { kind, name: toId(name) };
    }
};

const gatherAndExplain = async ({
    platform,
    settings,
    subject,
    fromMs,
    toMs,
}: ExplainRequest): Promise<ExplainResult> => {
    const vmListWarnings: string[] = [];
    const state = await readStateAt(platform, undefined);
    const [history, vms] = await Promise.all([
        readLastEdits(platform, { toRevision: state.revision, count: MAX_EDITS_SEARCHED }),
        readVmListOrWarn(platform, text => vmListWarnings.push(text)),
    ]);
    checkSubject(subject, state, history);
    const statusResults = await fetchOperatorReports(settings, findOperatorUrls(settings, vms), {
        path: "/status",
        schema: statusReportSchema,
    });
    const trafficResults = await fetchOperatorReports(settings, entryUrls(statusResults), {
        path: `/traffic?from=${fromMs - LOOKBACK_MS}&to=${toMs}`,
        schema: trafficReportSchema,
    });
    const reports = successfulReports(trafficResults);
    const explanation = explain({
        subject,
        fromMs,
        toMs,
        history,
        state,
        vms,
        traffic: {
            failures: reports.flatMap(report => report.failures),
            arrivals: reports.flatMap(report => report.arrivals),
        },
        uses: reports.flatMap(report => report.uses),
    });
    const coverageWarnings = reports.length === 0 ? ["no entry reported its failures; only the edits are shown"] : [];
    return {
        ...explanation,
        warnings: [
            ...vmListWarnings,
            ...describeFailures(statusResults),
            ...describeFailures(trafficResults),
            ...coverageWarnings,
        ],
    };
};

// Only entries record failures.
const entryUrls = (statusResults: readonly OperatorResult<StatusReport>[]): readonly string[] =>
    statusResults.flatMap(result =>
        result.kind === "answered" && result.report.program === "almondusher-entry" ? [result.url] : [],
    );

const checkSubject = (subject: Subject, state: FleetState, history: readonly EditRecord[]): void => {
    if (!isKnown(subject, state, history)) {
        throw new FleetError("not-found", {
            message: `there is no ${subject.kind} ${subject.name} in the current state or in the last ${MAX_EDITS_SEARCHED} edits`,
            hint: "almondusher show lists the rows of each table",
        });
    }
};

const isKnown = (subject: Subject, state: FleetState, history: readonly EditRecord[]): boolean => {
    const edited = history.flatMap(edit => edit.changes).some(change => change.key === subject.name);
    switch (subject.kind) {
        case "route":
            return edited || state.routes.has(subject.name);
        case "pool":
            return edited || state.pools.has(subject.name);
        case "vm":
            return (
                edited ||
                state.assignments.has(subject.name) ||
                state.pools.rows.some(pool => pool.vms.includes(subject.name))
            );
    }
};

const formatExplanation = ({
    subject,
    from,
    to,
    edits,
    findings,
    fault,
    warnings,
}: ExplainResult): readonly string[] => [
    `${subject.kind} ${subject.name} from ${from} to ${to}`,
    fault === undefined ? "no failures reported" : `at fault: ${describeFault(fault)}`,
    "",
    edits.length === 0 ? "no edit affected it" : "edits that affected it:",
    ...edits.flatMap(edit => [
        `  revision ${edit.revision} by ${edit.author.kind} ${edit.author.name}, in use from ${edit.firstUsedAt ?? "(not reported)"}, reason: ${edit.reason || "-"}`,
        ...edit.changes.map(line => `    ${line}`),
    ]),
    ...(findings.length === 0 ? [] : ["", "failures:"]),
    ...findings.flatMap(finding => [
        `  ${finding.count} x ${finding.cause}, ${finding.firstAt} to ${finding.lastAt}, revisions ${finding.firstRevision} to ${finding.lastRevision}: ${describeFault(finding.fault)}`,
        ...finding.evidence.map(line => `    ${line}`),
    ]),
    ...(warnings.length === 0 ? [] : ["", ...warnings.map(line => `warning: ${line}`)]),
];
