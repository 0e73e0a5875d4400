/** Monotonic time in milliseconds. */
export const monotonicMs = (): number => performance.now();
