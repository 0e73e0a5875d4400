import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { programPath } from "./deployment.js";
import { type DeployedDispatcher, JOB_HOST, JOB_PREFIX } from "./job-deployment.js";

/** Exit code and JSON output of a command. */
export interface JobCliResult {
    readonly exitCode: number;
    readonly output: Readonly<Record<string, unknown>>;
}

/** Runner for the job commands, with settings and files in a temporary directory. */
export interface JobCli {
    /** Runs a job command with --json; `entries` overrides the entry addresses in the settings. */
    readonly run: (args: readonly string[], entries?: readonly string[]) => Promise<JobCliResult>;
    /** Writes a file to the temporary directory and returns its path. */
    readonly write: (name: string, text: string) => string;
    /** Writes the current logs of the dispatchers to files and returns their paths. */
    readonly writeLogs: (dispatchers: readonly Pick<DeployedDispatcher, "vm" | "log">[]) => readonly string[];
    /** Removes the temporary directory. */
    readonly remove: () => void;
}

/** Name of the queue in the settings. */
export const QUEUE_NAME = "main";

/** Creates a runner for entries at the given addresses (host:port). */
export const createJobCli = (addresses: readonly string[]): JobCli => {
    const directory = mkdtempSync(join(tmpdir(), "almondusher-job-cli-"));
    const write = (name: string, text: string): string => {
        const file = join(directory, name);
        writeFileSync(file, text);
        return file;
    };
    const writeSettings = (entries: readonly string[]): string =>
        write(
            `settings-${entries.join("-").replaceAll(":", "-")}.json`,
            JSON.stringify({
                entries: entries.map(address => `http://${address}`),
                queues: [{ name: QUEUE_NAME, host: JOB_HOST, prefix: JOB_PREFIX }],
            }),
        );
    return {
        write,
        writeLogs: dispatchers =>
            dispatchers.map(({ vm, log }) => write(`${vm}.log`, log.map(line => JSON.stringify(line)).join("\n"))),
        run: (args, entries = addresses) =>
            new Promise(resolve => {
                const all = [programPath("cli", "almondusher.js"), "job", ...args, "--json"];
                const env = { ...process.env, ALMONDUSHER_JOB_SETTINGS: writeSettings(entries) };
                const child = execFile(process.execPath, all, { env }, (unusedError, stdout) =>
                    resolve({
                        exitCode: child.exitCode ?? 0,
                        output: JSON.parse(stdout) as JobCliResult["output"],
                    }),
                );
            }),
        remove: () => rmSync(directory, { recursive: true, force: true }),
    };
};
