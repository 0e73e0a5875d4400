import { PassThrough, type Readable } from "node:stream";

/** A request body that can be abandoned without destroying the caller's connection. */
export interface DetachableBody {
    readonly stream: Readable;
    /** True once a byte was read from the source, which can then not serve another attempt. */
    readonly taken: boolean;
    /** Starts reading the source. */
    attach: () => void;
    /** Stops reading; the rest of a source that was taken is discarded. */
    detach: () => void;
}

/** Puts a stream between the source and the client, because the client destroys the body of a failed exchange. */
export const detachableBody = (source: Readable): DetachableBody => {
    const stream = new PassThrough();
    let taken = false;
    let attached = false;
    const onData = (chunk: Buffer): void => {
        taken = true;
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
        source.off("data", onData).off("end", onEnd).off("error", onError).off("close", onClose);
        stream.destroy();
        if (taken) {
            source.resume();
        } else {
            source.pause();
        }
    };
    return {
        stream,
        get taken() {
            return taken;
        },
        attach,
        detach,
    };
};
