/** A raw header list as in Node.js, with alternating names and values. */
type RawHeaders = readonly string[];

export interface ForwardHeadersOptions {
    readonly headers: RawHeaders;
    /** Pseudonym of this proxy in the Via header. */
    readonly via: string;
    /** Lower-case names of further headers to remove. */
    readonly drop?: readonly string[];
}

// Hop-by-hop headers of RFC 9110 section 7.6.1, and older ones that implementations still send.
const hopByHop = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-authentication-info",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

// Headers that are forwarded even if the caller lists them in Connection.
const protectedHeaders = new Set(["host", "content-length"]);

/** Copies the end-to-end headers of a message in order and adds this proxy to Via. */
export const forwardHeaders = (options: ForwardHeadersOptions): string[] => {
    const { headers, drop = noNames } = options;
    const listed = connectionListedNames(headers);
    const forwarded: string[] = [];
    let via = "";
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index] ?? "";
        const value = headers[index + 1] ?? "";
        const lowerName = name.toLowerCase();
        if (lowerName === "via") {
            via += `${value}, `;
        } else if (!hopByHop.has(lowerName) && !isListed(listed, lowerName) && !drop.includes(lowerName)) {
            forwarded.push(name, value);
        }
    }
    forwarded.push("via", `${via}1.1 ${options.via}`);
    return forwarded;
};

const isListed = (listed: readonly string[], lowerName: string): boolean =>
    listed.length > 0 && listed.includes(lowerName) && !protectedHeaders.has(lowerName);

const noNames: readonly string[] = [];

// Returns the lower-case header names listed in Connection. The common values `keep-alive` and `close` name no header.
const connectionListedNames = (headers: RawHeaders): readonly string[] => {
    let listed: readonly string[] = noNames;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index] ?? "";
        if (name.length === "connection".length && name.toLowerCase() === "connection") {
            const value = (headers[index + 1] ?? "").toLowerCase();
            if (value !== "keep-alive" && value !== "close") {
                listed = [...listed, ...value.split(",").map(option => option.trim())];
            }
        }
    }
    return listed;
};
