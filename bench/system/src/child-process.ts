import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { limitedCommand, type ProcessLimits } from "./limited-command.js";

export interface ChildOptions {
    readonly name: string;
    /** Path of the Node.js script. */
    readonly script: string;
    readonly args: readonly string[];
    /** File to which stdout and stderr are appended. */
    readonly logFile: string;
    readonly limits?: ProcessLimits | undefined;
}

export interface Child {
    readonly name: string;
    readonly process: ChildProcess;
    /** Resolves with the exit code, or undefined if a signal ended the process. */
    readonly exited: Promise<number | undefined>;
    /** Resolves with the first line of stdout that matches the predicate; rejects on timeout. */
    waitForLine: (matches: (line: string) => boolean, timeoutMs: number) => Promise<string>;
}

/** Starts a script with Node.js and appends its output to the log file. */
export const startChild = ({ name, script, args, logFile, limits }: ChildOptions): Child => {
    const command = limitedCommand([script, ...args], limits);
    const child = spawn(command.file, command.args, { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(logFile, { flags: "a" });
    const lines: string[] = [];
    const listeners = new Set<(line: string) => void>();
    createInterface({ input: child.stdout }).on("line", line => {
        log.write(`${line}\n`);
        lines.push(line);
        listeners.forEach(listener => listener(line));
    });
    child.stderr.pipe(log, { end: false });
    const exited = new Promise<number | undefined>(resolve => {
        child.once("exit", code => resolve(code ?? undefined));
    });
    return {
        name,
        process: child,
        exited,
        waitForLine: (matches, timeoutMs) =>
            new Promise((resolve, reject) => {
                const known = lines.find(matches);
                if (known !== undefined) {
                    resolve(known);
                    return;
                }
                const timer = setTimeout(
                    () =>
                        reject(
                            new Error(
                                `${name} did not print the expected line within ${timeoutMs} ms; see its output in ${logFile}`,
                            ),
                        ),
                    timeoutMs,
                );
                const listener = (line: string): void => {
                    if (matches(line)) {
                        clearTimeout(timer);
                        listeners.delete(listener);
                        resolve(line);
                    }
                };
                listeners.add(listener);
            }),
    };
};
