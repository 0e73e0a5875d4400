import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { type PlatformStandIn, startPlatformStandIn } from "@almondusher/platform-stand-in/start-platform-stand-in";

const BINARY = fileURLToPath(new URL("../bin/almondusher.js", import.meta.url));
const REQUEST_TIMEOUT_MS = 400;

/** Secret of the operator ports in the tests. */
export const SECRET = "0123456789abcdef0123456789abcdef";

interface CommandResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

export interface Fixture {
    readonly standIn: PlatformStandIn;
    /** Writes a file to the test directory and returns its path. */
    write: (name: string, content: unknown) => string;
    /** Runs the compiled command-line program with the settings for the platform stand-in. */
    run: (...args: readonly string[]) => Promise<CommandResult>;
    /** Replaces the settings file for later runs. */
    configure: (settings: object) => void;
}

const runBinary = (args: readonly string[], env: NodeJS.ProcessEnv): Promise<CommandResult> =>
    new Promise(resolve => {
        const child = execFile(process.execPath, [BINARY, ...args], { env }, (unusedError, stdout, stderr) =>
            resolve({ exitCode: child.exitCode ?? -1, stdout, stderr }),
        );
        child.stdin?.end();
    });

/** Starts a platform stand-in and creates a temporary directory; closes and removes them after the test. */
export const startFixture = async (context: TestContext): Promise<Fixture> => {
    const standIn = await startPlatformStandIn();
    const directory = mkdtempSync(join(tmpdir(), "almondusher-cli-"));
    context.after(async () => {
        await standIn.close();
        rmSync(directory, { recursive: true });
    });
    const write = (name: string, content: unknown): string => {
        const path = join(directory, name);
        writeFileSync(path, typeof content === "string" ? content : JSON.stringify(content));
        return path;
    };
    const { tableUrl, objectUrl, vmListUrl } = standIn;
    const platform = { tableUrl, objectUrl, vmListUrl, requestTimeoutMs: REQUEST_TIMEOUT_MS };
    write("secret", SECRET);
    const configure = (settings: object): void =>
        void write("settings.json", { platform, operatorSecretFile: "secret", ...settings });
    configure({});
    const env = { ...process.env, ALMONDUSHER_SETTINGS: join(directory, "settings.json") };
    return { standIn, write, configure, run: (...args) => runBinary(args, env) };
};

/** Content of a table file for a small fleet: one route, one pool with two VMs. */
export const tables = (overrides: { slotsPerVm?: number; timeoutMs?: number; minAvailable?: number } = {}) => ({
    routes: [
        {
            name: "letters",
            pathPrefix: "/letters",
            pool: "letters",
            team: "notaries",
            timeoutMs: overrides.timeoutMs ?? 1000,
        },
    ],
    pools: [
        {
            name: "letters",
            vms: ["vm-1", "vm-2"],
            minAvailable: overrides.minAvailable ?? 1,
            slotsPerVm: overrides.slotsPerVm ?? 8,
        },
    ],
});
