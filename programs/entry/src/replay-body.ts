import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";

/** A request body that can be replayed from its start while the bytes received fit the replay limit. */
export interface ReplayBody {
    /** Opens a stream of the whole body for the next attempt; undefined if the start is no longer buffered. */
    open: () => Readable | undefined;
    /** Returns whether another attempt can send the body from its start. */
    canReplay: () => boolean;
    /** Detaches the current attempt from the caller's stream. */
    detach: () => void;
    /** Reads and discards the rest of the body, so that the connection can be reused for the next request. */
    discard: () => void;
}

export interface ReplayBodyOptions {
    readonly source: IncomingMessage;
    /** Number of bytes buffered for further attempts. */
    readonly replayBytes: number;
    /** Maximum body size, in bytes. */
    readonly maxBytes: number;
    readonly onTooLarge: () => void;
}

/** Creates a replayable body; it is read with the backpressure of the current attempt, so that memory stays bounded. */
export const createReplayBody = ({ source, replayBytes, maxBytes, onTooLarge }: ReplayBodyOptions): ReplayBody => {
    let buffered: Buffer[] = [];
    let receivedBytes = 0;
    let ended = false;
    let discarding = false;
    let current: PassThrough | undefined;

    const buffer = (chunk: Buffer): void => {
        if (receivedBytes <= replayBytes) {
            buffered.push(chunk);
        } else {
            buffered = [];
        }
    };
    const receive = (chunk: Buffer): void => {
        if (discarding) {
            return;
        }
        receivedBytes += chunk.length;
        if (receivedBytes > maxBytes) {
            source.pause();
            onTooLarge();
            return;
        }
        buffer(chunk);
        if (current?.write(chunk) === false) {
            source.pause();
        }
    };
    const finish = (): void => {
        ended = true;
        current?.end();
    };
    const attach = (stream: PassThrough): void => {
        current = stream;
        stream.on("drain", () => {
            if (current === stream) {
                source.resume();
            }
        });
        stream.on("error", () => undefined);
        buffered.forEach(chunk => stream.write(chunk));
        if (ended) {
            stream.end();
        } else {
            source.resume();
        }
    };

    source.on("data", receive);
    source.on("end", finish);
    source.pause();
    return {
        open: () => {
            if (receivedBytes > replayBytes) {
                return undefined;
            }
            const stream = new PassThrough();
            attach(stream);
            return stream;
        },
        canReplay: () => receivedBytes <= replayBytes,
        detach: () => {
            current = undefined;
            source.pause();
        },
        discard: () => {
            discarding = true;
            current = undefined;
            buffered = [];
            source.resume();
        },
    };
};
