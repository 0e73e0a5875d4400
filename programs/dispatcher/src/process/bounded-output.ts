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
// Maximum size of a write of several lines. A pipe takes a write of up to this size whole (PIPE_BUF), and some readers
// discard the rest of a larger one.
const MAX_WRITE_BYTES = 4096;

/** Creates an output that drops lines while its reader is stalled. Writes do not block the main thread. */
export const createBoundedOutput = ({ descriptor, maxBuffered }: BoundedOutputOptions): BoundedOutput => {
    let pendingLines: string[] = [];
    /** Lines that are written before the pending ones, from the index `next` on. */
    let batch: string[] = [];
    let next = 0;
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
    const hasLines = (): boolean => next < batch.length || pendingLines.length > 0;
    const takeChunk = (): Buffer => {
        if (next === batch.length) {
            batch = pendingLines;
            pendingLines = [];
            next = 0;
        }
        const first = next;
        let bytes = 0;
        do {
            bytes += Buffer.byteLength(batch[next] ?? "");
            next++;
        } while (next < batch.length && bytes + Buffer.byteLength(batch[next] ?? "") <= MAX_WRITE_BYTES);
        const chunk = batch.slice(first, next).join("");
        buffered -= chunk.length;
        return Buffer.from(chunk);
    };
    const writePending = (): void => {
        if (writing || !hasLines()) {
            return;
        }
        writing = true;
        writeAll(takeChunk());
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
            while ((writing || hasLines()) && performance.now() < endMs) {
                await new Promise(resolve => setTimeout(resolve, FLUSH_POLL_INTERVAL_MS));
            }
        },
    };
};
