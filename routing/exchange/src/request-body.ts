import { PassThrough, type Readable } from "node:stream";

/** A request body that can be abandoned without destroying the caller's connection. */
export interface DetachableBody {
    readonly stream: Readable;
    /** True once a byte was read from the source, which can then not serve another attempt. */
    taken: boolean;
    /** True if the source ended with an error or closed early. */
    failed: boolean;
    /** True while everything that the source has given was passed on and more is to come. */
    waitsForSource: () => boolean;
    /** Starts reading the source. */
    attach: () => void;
    /** Stops reading and leaves the source paused; its owner discards or closes the rest. */
    detach: () => void;
}

/** Puts a stream between the source and the client, because the client destroys the body of a failed exchange. */
export const detachableBody = (source: Readable): DetachableBody => {
    const stream = new PassThrough();
    // The client no longer listens once the exchange has ended.
    stream.on("error", () => undefined);
    let attached = false;
    const onData = (chunk: Buffer): void => {
        body.taken = true;
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
        taken: false,
        failed: false,
        waitsForSource: () => !source.readableEnded && stream.readableLength + stream.writableLength === 0,
        attach,
        detach,
    };
    return body;
};
