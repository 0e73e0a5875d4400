import { PassThrough, type Readable } from "node:stream";

/** A request body that can be detached without destroying the caller's connection. */
export interface DetachableBody {
    readonly stream: Readable;
    /** True once a byte was read from the source, after which the body cannot be sent again in another attempt. */
    consumed: boolean;
    /** True if the source failed or was closed early. */
    failed: boolean;
    /** True while the source has not ended and everything read from it was passed on. */
    waitsForSource: () => boolean;
    /** Starts reading the source. */
    attach: () => void;
    /** Stops reading and leaves the source paused; its owner discards the rest or closes it. */
    detach: () => void;
}

/** Pipes the source through a separate stream, because the undici client destroys the body of a failed exchange. */
export const detachableBody = (source: Readable): DetachableBody => {
    const stream = new PassThrough();
    // The undici client removes its error listener when the exchange ends; without one, an error would be uncaught.
    stream.on("error", () => undefined);
    let attached = false;
    const onData = (chunk: Buffer): void => {
        body.consumed = true;
        if (!stream.write(chunk)) {
            source.pause();
        }
    };
    const onDrain = (): void => {
        source.resume();
    };
    const onEnd = (): void => {
        stream.end();
    };
    const onError = (error: Error): void => {
        body.failed = true;
        stream.destroy(error);
    };
    const onClose = (): void => {
        if (!source.readableEnded) {
            onError(new Error("the caller closed the request body"));
        }
    };
    const attach = (): void => {
        if (attached) {
            return;
        }
        attached = true;
        stream.on("drain", onDrain);
        source.on("data", onData).on("end", onEnd).on("error", onError).on("close", onClose);
        if (source.readableEnded) {
            onEnd();
        } else if (source.destroyed) {
            onClose();
        }
    };
    const detach = (): void => {
        if (!attached) {
            stream.destroy();
            return;
        }
        source.off("data", onData).off("end", onEnd).off("error", onError).off("close", onClose);
        stream.off("drain", onDrain).destroy();
        source.pause();
    };
    const body: DetachableBody = {
        stream,
        consumed: false,
        failed: false,
        waitsForSource: () => !source.readableEnded && stream.readableLength + stream.writableLength === 0,
        attach,
        detach,
    };
    return body;
};
