import type { IncomingMessage } from "node:http";
import { createByteCollector } from "@almondusher/connections/byte-collector";
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

// Read before the first attempt takes the body: parts that stay in the stream meanwhile cost far more than their bytes
// where they are tiny.
const AHEAD_BYTES = 16_384;

/** Creates a replayable body; it is read with the backpressure of the current attempt, so that memory stays bounded. */
export const createReplayBody = ({ source, replayBytes, maxBytes, onTooLarge }: ReplayBodyOptions): ReplayBody => {
    const buffered = createByteCollector();
    // Parts on their way to the current attempt: tiny ones are sent together.
    const unsent = createByteCollector();
    let receivedBytes = 0;
    let ended = false;
    // Until the first attempt has it, the start is kept, however much has arrived.
    let opened = false;
    let discarding = false;
    let current: PassThrough | undefined;

    const canReplay = (): boolean => !opened || receivedBytes <= replayBytes;
    const buffer = (chunk: Buffer): void => {
        if (canReplay()) {
            buffered.append(chunk);
        } else {
            buffered.clear();
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
        if (current === undefined) {
            if (receivedBytes >= AHEAD_BYTES) {
                source.pause();
            }
            return;
        }
        if (unsent.length() === 0) {
            setImmediate(flush);
        }
        unsent.append(chunk);
    };
    const flush = (): void => {
        const bytes = Buffer.from(unsent.bytes());
        unsent.clear();
        if (bytes.length > 0 && current?.write(bytes) === false) {
            source.pause();
        }
    };
    const finish = (): void => {
        ended = true;
        flush();
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
        // What an earlier attempt has not been sent yet is among what is buffered.
        unsent.clear();
        if (buffered.length() > 0) {
            stream.write(Buffer.from(buffered.bytes()));
        }
        if (!canReplay()) {
            buffered.clear();
        }
        if (ended) {
            stream.end();
        } else {
            source.resume();
        }
    };

    source.on("data", receive);
    source.on("end", finish);
    return {
        open: () => {
            if (!canReplay()) {
                return undefined;
            }
            opened = true;
            const stream = new PassThrough();
            attach(stream);
            return stream;
        },
        canReplay,
        detach: () => {
            current = undefined;
            source.pause();
        },
        discard: () => {
            discarding = true;
            current = undefined;
            buffered.clear();
            unsent.clear();
            source.resume();
        },
    };
};
