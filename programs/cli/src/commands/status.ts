import type { Assignment } from "@almondusher/fleet/assignment";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import { type StatusReport, statusReportSchema } from "@almondusher/telemetry/status-report";
import type { Vm } from "@almondusher/fleet/vm";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { type CliSettings, loadCliSettings } from "../cli-settings.js";
import { describePhase } from "../describe-phase.js";
import { formatTable } from "../format-table.js";
import { fetchOperatorReports, describeFailures, findOperatorUrls, successfulReports } from "../operator-ports.js";
import { readStateAt, withPlatform } from "../platform-access.js";
import { readVmListOrWarn } from "../read-vm-list.js";

interface DrainStatus {
    readonly vm: string;
    readonly pool: string;
    readonly phase: string;
    /** Requests in flight on the VM, summed over the processes that reported. */
    readonly inFlight: number;
    readonly waitingFor: readonly string[];
}

interface StatusResult {
    /** Undefined if the state could not be read from the platform. */
    readonly revision: number | undefined;
    readonly processes: readonly StatusReport[];
    readonly drains: readonly DrainStatus[];
    readonly waves: StatusReport["waves"];
    readonly warnings: readonly string[];
}

interface StateAndVms {
    readonly state: FleetState | undefined;
    readonly vms: readonly Vm[];
    readonly warnings: readonly string[];
}

/** Shows the status reports of all processes with the drains and waves; if the platform is down, with a warning. */
export class StatusCommand extends BaseCommand {
    static override summary = "Show the processes, the drains and the maintenance waves";
    static override flags = { settings: settingsFlag };

    async run(): Promise<StatusResult> {
        const { flags } = await this.parse(StatusCommand);
        const settings = loadCliSettings(flags.settings);
        const stateAndVms = await readStateAndVms(settings);
        const results = await fetchOperatorReports(settings, findOperatorUrls(settings, stateAndVms.vms), {
            path: "/status",
            schema: statusReportSchema,
        });
        const processes = successfulReports(results);
        const status: StatusResult = {
            revision: stateAndVms.state?.revision,
            processes,
            drains: mergeDrains(stateAndVms.state, processes),
            waves: processes.filter(report => report.leading === true).flatMap(report => report.waves),
            warnings: [...stateAndVms.warnings, ...describeFailures(results)],
        };
        formatStatus(status).forEach(line => this.log(line));
        return status;
    }
}

// A failed platform read becomes a warning, since the status of the processes matters most when the platform is down.
const readStateAndVms = (settings: CliSettings): Promise<StateAndVms> =>
    withPlatform(settings, async platform => {
        const warnings: string[] = [];
        const vms = await readVmListOrWarn(platform, text => warnings.push(text));
        try {
            return { state: await readStateAt(platform, undefined), vms, warnings };
        } catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return { state: undefined, vms, warnings: [...warnings, `the state could not be read: ${reason}`] };
        }
    });

const mergeDrains = (state: FleetState | undefined, processes: readonly StatusReport[]): readonly DrainStatus[] => {
    const rows: readonly Pick<Assignment, "vm" | "pool">[] =
        state === undefined
            ? processes.flatMap(report => report.drains)
            : state.assignments.rows.filter(row => row.phase.kind !== "serving");
    const unique = [...new Map(rows.map(row => [row.vm, row])).values()];
    return unique.map(({ vm, pool }) => {
        const reported = processes.flatMap(report => report.drains).filter(drain => drain.vm === vm);
        const phase = state?.assignments.get(vm)?.phase;
        return {
            vm,
            pool,
            phase: phase === undefined ? "draining" : describePhase(phase),
            inFlight: reported.reduce((sum, drain) => sum + (drain.inFlight ?? 0), 0),
            waitingFor: [...new Set(reported.flatMap(drain => drain.waitingFor))],
        };
    });
};

const formatStatus = ({ revision, processes, drains, waves, warnings }: StatusResult): readonly string[] => [
    `revision ${revision ?? "unknown"}`,
    "",
    formatTable(processes, [
        { title: "PROCESS", text: row => row.processId },
        { title: "PROGRAM", text: row => `${row.program}${row.leading === true ? " (leading)" : ""}` },
        { title: "VM", text: row => row.vm },
        { title: "REVISION", text: row => String(row.revision) },
        { title: "READY", text: row => (row.ready ? "yes" : `no: ${row.reason ?? "no reason given"}`) },
    ]),
    "",
    formatTable(drains, [
        { title: "VM", text: row => row.vm },
        { title: "POOL", text: row => row.pool },
        { title: "PHASE", text: row => row.phase },
        { title: "IN FLIGHT", text: row => String(row.inFlight) },
        { title: "WAITING FOR", text: row => row.waitingFor.join("; ") || "-" },
    ]),
    "",
    formatTable(waves, [
        { title: "WAVE IN POOL", text: row => row.pool },
        { title: "DONE", text: row => `${row.done} of ${row.total}` },
        { title: "UNDER WAY", text: row => row.underWay.join(",") || "-" },
        { title: "WAITING FOR", text: row => row.waitingFor ?? "-" },
    ]),
    ...(warnings.length === 0 ? [] : ["", ...warnings.map(line => `warning: ${line}`)]),
];
