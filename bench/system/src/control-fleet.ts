import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { closePlatform, createPlatform, type Platform } from "@almondusher/platform/create-platform";
import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { applyTables } from "./apply-tables.js";
import { type Deployment, startDeployment } from "./deployment.js";
import { layOutVms, sampleTables } from "./fleet-layout.js";
import { pollUntil } from "./operator-client.js";
import { readEntryDumps } from "./read-operator.js";
import type { SampleFleet, SampleService } from "./sample-fleet.js";

const START_TIMEOUT_MS = 30_000;

export interface ControlFleetOptions {
    readonly name: string;
    readonly entries: number;
    readonly services: readonly SampleService[];
    readonly dataCentres?: readonly string[];
    readonly vmsPerRack?: number;
    /** Timing settings of the entries that override `controlTiming`. */
    readonly entryTiming?: object;
    /** Overrides of top-level keys in the managers' settings. */
    readonly managerSettings?: object;
}

/** A small running deployment whose initial tables have been adopted by every entry. */
export interface ControlFleet {
    readonly deployment: Deployment;
    readonly fleet: SampleFleet;
    readonly tables: ReturnType<typeof sampleTables>;
    /** Operator's client for the platform stand-in. */
    readonly platform: Platform;
    stop: () => Promise<void>;
}

// A planned stop always lasts the full grace period; a short one keeps the control path tests fast.
const controlTiming = { stopGraceMs: 1000, isolationTimeoutMs: 4000 };

const connectOperator = (deployment: Deployment): Platform => {
    const file = deployment.cliSettingsFile;
    const { platform } = JSON.parse(readFileSync(file, "utf8")) as { platform: object };
    return createPlatform({ settings: platformSettingsSchema.parse(platform), settingsFile: file });
};

const waitForFirstTables = (deployment: Deployment, vms: number): Promise<true> =>
    pollUntil({
        what: `${vms} serving VMs in the dump of every entry`,
        timeoutMs: START_TIMEOUT_MS,
        read: async () => {
            const dumps = await readEntryDumps(deployment);
            const serving = dumps.map(
                dump => dump.sections.assignments.filter(row => row.phase.kind === "serving").length,
            );
            return serving.length === deployment.entries.length && serving.every(count => count >= vms)
                ? true
                : undefined;
        },
    });

/** Starts a deployment and resolves once every entry shows all VMs of the tables as serving. */
export const startControlFleet = async (options: ControlFleetOptions): Promise<ControlFleet> => {
    const fleet: SampleFleet = {
        name: options.name,
        dataCentres: options.dataCentres ?? ["quimper"],
        services: options.services,
        vmsPerRack: options.vmsPerRack ?? 4,
        entries: options.entries,
    };
    const deployment = await startDeployment({
        fleet,
        folder: mkdtempSync(join(tmpdir(), `almondusher-${options.name}-`)),
        entrySettings: { timing: { ...controlTiming, ...options.entryTiming } },
        managerSettings: { planner: { listLagMs: 0 }, ...options.managerSettings },
    });
    const platform = connectOperator(deployment);
    const stop = async (): Promise<void> => {
        await deployment.stop();
        await closePlatform(platform);
    };
    try {
        const tables = sampleTables(fleet);
        await applyTables(deployment, tables);
        await waitForFirstTables(deployment, layOutVms(fleet).length);
        return { deployment, fleet, tables, platform, stop };
    } catch (error) {
        await stop();
        throw error;
    }
};
