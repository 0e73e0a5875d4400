import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { type Deployment, programPath } from "./deployment.js";

const MAX_OUTPUT_BYTES = 16 * 1024 ** 2;
const execute = promisify(execFile);

/** Runs the operators' command-line tool and returns its JSON output; rejects if the exit code is not 0. */
export const runCli = async <Result>(deployment: Deployment, args: readonly string[]): Promise<Result> => {
    const script = programPath("cli", "almondusher.js");
    const all = [script, ...args, "--settings", deployment.cliSettingsFile, "--json"];
    const { stdout } = await execute(process.execPath, all, { maxBuffer: MAX_OUTPUT_BYTES });
    return JSON.parse(stdout) as Result;
};
