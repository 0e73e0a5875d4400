import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";

/** A request body that can be sent again while it fits the replay limit. */
export interface ReplayBody {
    /** A stream of the whole body for the next attempt; undefined if its start is no longer kept. */
    open: () => Readable | undefined;
    /** True while another attempt could send the body from its start. */
    canReplay: () => boolean;
    /** Detaches the current attempt from the caller's stream. */
    detach: () => void;
    /** Reads the rest without keeping it, so that the connection can carry the next request. */
    discard: () => void;
}

export interface ReplayBodyOptions {
    readonly source: IncomingMessage;
    /** Bytes kept for another attempt. */
    readonly replayBytes: number;
    /** Longest body, in bytes. */
    readonly maxBytes: number;
    readonly onTooLarge: () => void;
}

/** Reads the body as fast as the current attempt takes it, so that memory stays bounded. */
export const createReplayBody = ({ source, replayBytes, maxBytes, onTooLarge }: ReplayBodyOptions): ReplayBody => {
    let kept: Buffer[] = [];
    let receivedBytes = 0;
    let ended = false;
    let discarding = false;
    let current: PassThrough | undefined;

    const keep = (chunk: Buffer): void => {
        if (receivedBytes <= replayBytes) {
            kept.push(chunk);
        } else {
            kept = [];
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
        keep(chunk);
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
        kept.forEach(chunk => stream.write(chunk));
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
            kept = [];
            source.resume();
        },
    };
};
