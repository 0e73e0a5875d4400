import type { Assignment } from "@almondusher/fleet/assignment";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import { type StatusReport, statusReportSchema } from "@almondusher/telemetry/status-report";
import type { Vm } from "@almondusher/fleet/vm";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { type CliSettings, loadCliSettings } from "../cli-settings.js";
import { describePhase } from "../describe-phase.js";
import { formatTable } from "../format-table.js";
import { askOperators, failuresOf, findOperatorUrls, reportsOf } from "../operator-ports.js";
import { readStateAt, withPlatform } from "../platform-access.js";
import { readVmListOrWarn } from "../read-vm-list.js";

interface Drain {
    readonly vm: string;
    readonly pool: string;
    readonly phase: string;
    /** Requests in flight on the VM, of the processes that reported. */
    readonly inFlight: number;
    readonly waitingFor: readonly string[];
}

interface Status {
    /** Absent if the platform does not answer. */
    readonly revision: number | undefined;
    readonly processes: readonly StatusReport[];
    readonly drains: readonly Drain[];
    readonly waves: StatusReport["waves"];
    readonly warnings: readonly string[];
}

interface PlatformView {
    readonly state: FleetState | undefined;
    readonly vms: readonly Vm[];
    readonly warnings: readonly string[];
}

/** Shows drains, waves and processes. */
export class StatusCommand extends BaseCommand {
    static override summary = "Show drains, maintenance waves and the processes";
    static override flags = { settings: settingsFlag };

    async run(): Promise<Status> {
        const { flags } = await this.parse(StatusCommand);
        const settings = loadCliSettings(flags.settings);
        const view = await readPlatformView(settings);
        const answers = await askOperators(settings, findOperatorUrls(settings, view.vms), {
            path: "/status",
            schema: statusReportSchema,
        });
        const processes = reportsOf(answers);
        const status: Status = {
            revision: view.state?.revision,
            processes,
            drains: mergeDrains(view.state, processes),
            waves: processes.filter(report => report.leading === true).flatMap(report => report.waves),
            warnings: [...view.warnings, ...failuresOf(answers)],
        };
        formatStatus(status).forEach(line => this.log(line));
        return status;
    }
}

// Processes are asked even if the platform is down; that is when their state matters most.
const readPlatformView = (settings: CliSettings): Promise<PlatformView> =>
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

const mergeDrains = (state: FleetState | undefined, processes: readonly StatusReport[]): readonly Drain[] => {
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

const formatStatus = ({ revision, processes, drains, waves, warnings }: Status): readonly string[] => [
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
