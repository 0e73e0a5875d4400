/** Parses JSON; undefined for text that is not JSON. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
};
