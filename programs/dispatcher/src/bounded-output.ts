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

/** Creates an output that drops lines while its reader is stalled. Writes do not block the main thread. */
export const createBoundedOutput = ({ descriptor, maxBuffered }: BoundedOutputOptions): BoundedOutput => {
    let pendingLines: string[] = [];
    let buffered = 0;
    let dropped = 0;
    let writing = false;
    const writeAll = (chunk: Buffer): void => {
        write(descriptor, chunk, (error, written) => {
            if (!(error instanceof Error) && written < chunk.length) {
                writeAll(chunk.subarray(written));
                return;
            }
            writing = false;
            writePending();
        });
    };
    const writePending = (): void => {
        if (writing || pendingLines.length === 0) {
            return;
        }
        writing = true;
        const chunk = Buffer.from(pendingLines.join(""));
        pendingLines = [];
        buffered = 0;
        writeAll(chunk);
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
            writePending();
        },
        flush: async timeoutMs => {
            const endMs = performance.now() + timeoutMs;
            while ((writing || pendingLines.length > 0) && performance.now() < endMs) {
                await new Promise(resolve => setTimeout(resolve, FLUSH_POLL_INTERVAL_MS));
            }
        },
    };
};
