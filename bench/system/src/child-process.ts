import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";

export interface ChildOptions {
    readonly name: string;
    /** Script that Node runs. */
    readonly script: string;
    readonly args: readonly string[];
    /** File that gets the output. */
    readonly logFile: string;
}

/** A program of the deployment that runs as a process of its own. */
export interface Child {
    readonly name: string;
    readonly process: ChildProcess;
    /** Resolves with the exit code, or undefined after a signal. */
    readonly exited: Promise<number | undefined>;
    /** Resolves with the first line of the output that the test accepts; rejects after the time. */
    waitForLine: (accepts: (line: string) => boolean, timeoutMs: number) => Promise<string>;
}

/** Starts a program and keeps its output in a file. */
export const startChild = ({ name, script, args, logFile }: ChildOptions): Child => {
    const child = spawn(process.execPath, [script, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(logFile, { flags: "a" });
    const lines: string[] = [];
    const watchers = new Set<(line: string) => void>();
    createInterface({ input: child.stdout }).on("line", line => {
        log.write(`${line}\n`);
        lines.push(line);
        watchers.forEach(watch => watch(line));
    });
    child.stderr.pipe(log, { end: false });
    const exited = new Promise<number | undefined>(resolve => {
        child.once("exit", code => resolve(code ?? undefined));
    });
    return {
        name,
        process: child,
        exited,
        waitForLine: (accepts, timeoutMs) =>
            new Promise((resolve, reject) => {
                const known = lines.find(accepts);
                if (known !== undefined) {
                    resolve(known);
                    return;
                }
                const timer = setTimeout(
                    () =>
                        reject(
                            new Error(`${name} did not print the expected line within ${timeoutMs} ms; see ${logFile}`),
                        ),
                    timeoutMs,
                );
                const watch = (line: string): void => {
                    if (accepts(line)) {
                        clearTimeout(timer);
                        watchers.delete(watch);
                        resolve(line);
                    }
                };
                watchers.add(watch);
            }),
    };
};
