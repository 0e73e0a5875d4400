const FIRST_CAPACITY_BYTES = 1024;

/** Collects bytes in one buffer: a list of parts would cost far more than its bytes where the parts are tiny. */
export interface ByteCollector {
    /** Copies the part, so that nothing refers to the block of memory in which it was received. */
    readonly append: (part: Buffer) => void;
    readonly length: () => number;
    /** Bytes of memory in use. */
    readonly capacity: () => number;
    /** Returns what has been collected; valid until the next call of `append`. */
    readonly bytes: () => Buffer;
    readonly clear: () => void;
}

/** Creates an empty collector. */
export const createByteCollector = (): ByteCollector => {
    let buffer = Buffer.alloc(0);
    let length = 0;
    return {
        append: part => {
            if (length + part.length > buffer.length) {
                const capacity = Math.max(FIRST_CAPACITY_BYTES, 2 * buffer.length, length + part.length);
                const larger = Buffer.allocUnsafeSlow(capacity);
                buffer.copy(larger, 0, 0, length);
                buffer = larger;
            }
            part.copy(buffer, length);
            length += part.length;
        },
        length: () => length,
        capacity: () => buffer.length,
        bytes: () => buffer.subarray(0, length),
        clear: () => {
            buffer = Buffer.alloc(0);
            length = 0;
        },
    };
};
