import { write } from "node:fs";

/** A log destination that never blocks the process, even if nothing reads from it. */
export interface BoundedOutput {
    readonly write: (line: string) => void;
    /** Number of lines that were dropped because the reader was too slow. */
    readonly dropped: () => number;
    /** Resolves once all accepted lines are written, or after the timeout. */
    readonly flush: (timeoutMs: number) => Promise<void>;
}

export interface BoundedOutputOptions {
    readonly descriptor: number;
    /** Maximum number of buffered characters; further lines are dropped. */
    readonly maxBuffered: number;
}

const FLUSH_POLL_INTERVAL_MS = 10;
// Lines are collected for this long or up to this size, since one system call for each line would cost more processor
// time than the rest of the logging.
const COLLECT_MS = 10;
const COLLECT_CHARACTERS = 4096;

/** Creates an output that drops lines while its reader is stalled. Writes do not block the main thread. */
export const createBoundedOutput = ({ descriptor, maxBuffered }: BoundedOutputOptions): BoundedOutput => {
    let pendingLines: string[] = [];
    let buffered = 0;
    let dropped = 0;
    let writing = false;
    let timer: NodeJS.Timeout | undefined;
    const writeAll = (chunk: Buffer): void => {
        write(descriptor, chunk, (error, written) => {
            if (!(error instanceof Error) && written < chunk.length) {
                writeAll(chunk.subarray(written));
                return;
            }
            writing = false;
            scheduleWrite();
        });
    };
    const writePending = (): void => {
        clearTimeout(timer);
        timer = undefined;
        writing = true;
        const chunk = Buffer.from(pendingLines.join(""));
        pendingLines = [];
        buffered = 0;
        writeAll(chunk);
    };
    const scheduleWrite = (): void => {
        if (writing || pendingLines.length === 0) {
            return;
        }
        if (buffered >= COLLECT_CHARACTERS) {
            writePending();
        } else {
            timer ??= setTimeout(writePending, COLLECT_MS);
        }
    };
    return {
        dropped: () => dropped,
        write: line => {
            if (buffered + line.length > maxBuffered) {
                dropped++;
                return;
            }
            pendingLines.push(line);
            buffered += line.length;
            scheduleWrite();
        },
        flush: async timeoutMs => {
            const endMs = performance.now() + timeoutMs;
            while ((writing || pendingLines.length > 0) && performance.now() < endMs) {
                await new Promise(resolve => setTimeout(resolve, FLUSH_POLL_INTERVAL_MS));
            }
        },
    };
};
