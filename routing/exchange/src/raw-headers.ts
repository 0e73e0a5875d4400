/** Returns the value of the first header with the given lower-case name. */
export const headerValue = (headers: readonly string[], lowerName: string): string | undefined => {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index] ?? "";
        if (name.length === lowerName.length && name.toLowerCase() === lowerName) {
            return headers[index + 1];
        }
    }
    return undefined;
};

/** Converts a raw header list to strings; header values are Latin-1, as in Node.js. */
export const rawHeaderText = (headers: readonly (Buffer | string)[]): string[] =>
    headers.map(part => (typeof part === "string" ? part : part.toString("latin1")));
