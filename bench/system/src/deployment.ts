import { randomBytes } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { type Child, startChild } from "./child-process.js";
import { layOutVms, sampleTables } from "./fleet-layout.js";
import { freePorts } from "./free-ports.js";
import type { ProcessLimits } from "./limited-command.js";
import type { SampleFleet } from "./sample-fleet.js";

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 20_000;
const SECRET_BYTES = 32;
const MANAGERS = 2;

export interface DeploymentOptions {
    readonly fleet: SampleFleet;
    /** Directory for settings, secrets and logs. */
    readonly folder: string;
    /** Overrides of top-level keys in the entries' settings. */
    readonly entrySettings?: object;
    /** Resources of each entry process; unlimited if undefined. */
    readonly entryLimits?: ProcessLimits | undefined;
    /** Overrides of top-level keys in the managers' settings. */
    readonly managerSettings?: object;
    /** Overrides of top-level keys in the endpoint stand-in's settings. */
    readonly endpointSettings?: object;
}

/** An entry process with its URLs and settings file. */
export interface DeployedEntry {
    readonly vmId: string;
    child: Child;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly settingsFile: string;
}

/** A manager process with its URL and settings file. */
interface DeployedManager {
    readonly vmId: string;
    child: Child;
    readonly operatorUrl: string;
    readonly settingsFile: string;
}

/** Processes of a deployment that runs on the local machine. */
export interface Deployment {
    readonly folder: string;
    readonly operatorSecret: string;
    readonly platformControlUrl: string;
    readonly endpointControlUrl: string;
    readonly tablesFile: string;
    readonly cliSettingsFile: string;
    readonly entries: readonly DeployedEntry[];
    readonly managers: readonly DeployedManager[];
    readonly platform: Child;
    readonly endpoints: Child;
    stop: () => Promise<void>;
}

const require = createRequire(import.meta.url);

/** Path of a script in the bin directory of a workspace package. */
export const programPath = (packageName: string, script: string): string =>
    join(dirname(require.resolve(`@almondusher/${packageName}/package.json`)), "bin", script);

const writeJson = (file: string, value: unknown): string => {
    writeFileSync(file, JSON.stringify(value, undefined, 4));
    return file;
};

const loopbackAddress = (port: number | undefined): { ip: string; port: number } => ({
    ip: "127.0.0.1",
    port: port ?? 0,
});
const urlOf = (port: number | undefined): string => `http://127.0.0.1:${port ?? 0}`;

interface PlatformUrls {
    readonly tableUrl: string;
    readonly objectUrl: string;
    readonly vmListUrl: string;
    readonly controlUrl: string;
}

interface SharedProcessOptions {
    readonly options: DeploymentOptions;
    readonly peerSecretFile: string;
    readonly operatorSecretFile: string;
    readonly platform: PlatformUrls;
}

const startEndpoints = async (options: DeploymentOptions, ports: readonly number[], controlPort: number) => {
    const { fleet, folder } = options;
    const settings = writeJson(join(folder, "endpoints.json"), {
        vms: layOutVms(fleet).map((vm, index) => ({ vm: vm.id, port: ports[index] })),
        control: loopbackAddress(controlPort),
        ...options.endpointSettings,
    });
    const child = startChild({
        name: "endpoints",
        script: programPath("endpoint-stand-in", "endpoint-stand-in.js"),
        args: ["--settings", settings],
        logFile: join(folder, "endpoints.log"),
    });
    await child.waitForLine(line => line.includes('"ready":true'), START_TIMEOUT_MS);
    return child;
};

const startPlatform = async ({ folder }: DeploymentOptions, vms: readonly object[]) => {
    const settings = writeJson(join(folder, "platform.json"), { vms });
    const child = startChild({
        name: "platform",
        script: programPath("platform-stand-in", "platform-stand-in.js"),
        args: ["--settings", settings],
        logFile: join(folder, "platform.log"),
    });
    const line = await child.waitForLine(text => text.includes('"started"'), START_TIMEOUT_MS);
    return { child, urls: JSON.parse(line) as PlatformUrls };
};

const platformSettings = ({ tableUrl, objectUrl, vmListUrl }: PlatformUrls) => ({ tableUrl, objectUrl, vmListUrl });

const startEntry = (
    shared: SharedProcessOptions,
    index: number,
    ports: readonly number[],
    peers: readonly string[],
): DeployedEntry => {
    const { fleet, folder, entrySettings, entryLimits } = shared.options;
    const vmId = `entry-${index + 1}`;
    const settingsFile = writeJson(join(folder, `${vmId}.json`), {
        vmId,
        dataCentre: fleet.dataCentres[index % fleet.dataCentres.length],
        listen: loopbackAddress(ports[0]),
        peerListen: loopbackAddress(ports[1]),
        operatorListen: loopbackAddress(ports[2]),
        peers: peers.slice(0, 2),
        peerSecretFile: shared.peerSecretFile,
        operatorSecretFile: shared.operatorSecretFile,
        platform: platformSettings(shared.platform),
        ...entrySettings,
    });
    return {
        vmId,
        child: launchEntry(vmId, settingsFile, folder, entryLimits),
        callerUrl: urlOf(ports[0]),
        operatorUrl: urlOf(ports[2]),
        settingsFile,
    };
};

/** Starts an entry process from its settings file. */
export const launchEntry = (vmId: string, settingsFile: string, folder: string, limits?: ProcessLimits): Child =>
    startChild({
        limits,
        name: vmId,
        script: programPath("entry", "almondusher-entry.js"),
        args: ["--settings", settingsFile],
        logFile: join(folder, `${vmId}.log`),
    });

/** Starts a manager process from its settings file. */
export const launchManager = (name: string, settingsFile: string, folder: string): Child =>
    startChild({
        name,
        script: programPath("manager", "almondusher-manager.js"),
        args: ["--settings", settingsFile],
        logFile: join(folder, `${name}.log`),
    });

const startManager = (shared: SharedProcessOptions, index: number, port: number | undefined): DeployedManager => {
    const { fleet, folder, managerSettings } = shared.options;
    const vmId = `entry-${index + 1}`;
    const settingsFile = writeJson(join(folder, `manager-${index + 1}.json`), {
        vmId,
        dataCentre: fleet.dataCentres[index % fleet.dataCentres.length],
        operatorListen: loopbackAddress(port),
        peerSecretFile: shared.peerSecretFile,
        operatorSecretFile: shared.operatorSecretFile,
        platform: platformSettings(shared.platform),
        ...managerSettings,
    });
    return {
        vmId,
        child: launchManager(`manager-${index + 1}`, settingsFile, folder),
        operatorUrl: urlOf(port),
        settingsFile,
    };
};

const listedVms = (fleet: SampleFleet, endpointPorts: readonly number[], entryPorts: readonly number[]) => [
    ...layOutVms(fleet).map((vm, index) => ({
        id: vm.id,
        role: "endpoint",
        state: "live",
        bootId: "boot-1",
        address: `127.0.0.1:${endpointPorts[index] ?? 0}`,
        rack: vm.rack,
        dataCentre: vm.dataCentre,
    })),
    ...entryPorts.map((port, index) => ({
        id: `entry-${index + 1}`,
        role: "entry",
        state: "live",
        bootId: "boot-1",
        address: `127.0.0.1:${port}`,
        rack: `entry-rack-${index + 1}`,
        dataCentre: fleet.dataCentres[index % fleet.dataCentres.length],
    })),
];

const stopProcesses = async (children: readonly Child[]): Promise<void> => {
    children.forEach(child => child.process.kill("SIGCONT"));
    children.forEach(child => child.process.kill("SIGTERM"));
    const timer = setTimeout(() => children.forEach(child => child.process.kill("SIGKILL")), STOP_TIMEOUT_MS);
    await Promise.all(children.map(child => child.exited));
    clearTimeout(timer);
};

/** Starts the platform and endpoint stand-ins, the entries and two managers; resolves once all entries are ready. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
    const { fleet, folder } = options;
    mkdirSync(folder, { recursive: true });
    const vmCount = layOutVms(fleet).length;
    const ports = await freePorts(vmCount + 1 + fleet.entries * 3 + MANAGERS);
    const endpointPorts = ports.slice(0, vmCount);
    const controlPort = ports[vmCount] ?? 0;
    const entryPorts = Array.from({ length: fleet.entries }, (unused, index) =>
        ports.slice(vmCount + 1 + index * 3, vmCount + 4 + index * 3),
    );
    const managerPorts = ports.slice(-MANAGERS);
    const operatorSecret = randomBytes(SECRET_BYTES).toString("hex");
    writeFileSync(join(folder, "operator-secret.txt"), operatorSecret, { mode: 0o600 });
    writeFileSync(join(folder, "peer-secret.txt"), randomBytes(SECRET_BYTES).toString("hex"), { mode: 0o600 });
    const endpoints = await startEndpoints(options, endpointPorts, controlPort);
    const callerPorts = entryPorts.map(([port]) => port ?? 0);
    const platform = await startPlatform(options, listedVms(fleet, endpointPorts, callerPorts));
    const shared: SharedProcessOptions = {
        options,
        peerSecretFile: "peer-secret.txt",
        operatorSecretFile: "operator-secret.txt",
        platform: platform.urls,
    };
    const peerUrls = entryPorts.map(row => urlOf(row[1]));
    const entries = entryPorts.map((row, index) =>
        startEntry(
            shared,
            index,
            row,
            peerUrls.filter(url => url !== urlOf(row[1])),
        ),
    );
    const managers = managerPorts.map((port, index) => startManager(shared, index, port));
    await Promise.all(
        entries.map(entry => entry.child.waitForLine(line => line.includes('"event":"ready"'), START_TIMEOUT_MS)),
    );
    return {
        folder,
        operatorSecret,
        platformControlUrl: platform.urls.controlUrl,
        endpointControlUrl: urlOf(controlPort),
        tablesFile: writeJson(join(folder, "tables.json"), sampleTables(fleet)),
        cliSettingsFile: writeJson(join(folder, "cli.json"), {
            platform: platformSettings(platform.urls),
            operatorSecretFile: "operator-secret.txt",
            operatorUrls: [...entries, ...managers].map(process => process.operatorUrl),
        }),
        entries,
        managers,
        platform: platform.child,
        endpoints,
        stop: () =>
            stopProcesses([...entries, ...managers].map(each => each.child)).then(() =>
                stopProcesses([platform.child, endpoints]),
            ),
    };
};
