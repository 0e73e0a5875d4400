/** Waits for the end of some work, at most for the given time in milliseconds; the work goes on. */
export const waitAtMost = async (work: Promise<unknown>, ms: number): Promise<void> => {
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([work, new Promise<void>(resolve => (timer = setTimeout(resolve, ms)))]).finally(() =>
        clearTimeout(timer),
    );
};
