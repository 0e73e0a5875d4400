/** A raw header list as Node has it: name, value, name, value. */
type RawHeaders = readonly string[];

export interface ForwardHeadersOptions {
    readonly headers: RawHeaders;
    /** Name of this hop in the Via header. */
    readonly via: string;
    /** Lower-case names that are dropped besides the hop-by-hop ones. */
    readonly drop?: readonly string[];
}

// RFC 9110 section 7.6.1 and the older names that implementations still send.
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

// A caller must not have these removed by listing them in Connection.
const neverDropped = new Set(["host", "content-length"]);

/** Copies the end-to-end headers of a message in their order and adds this hop to Via. */
export const forwardHeaders = (options: ForwardHeadersOptions): string[] => {
    const { headers, drop = nothing } = options;
    const listed = connectionOptions(headers);
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
    listed.length > 0 && listed.includes(lowerName) && !neverDropped.has(lowerName);

const nothing: readonly string[] = [];

// The options that a Connection header may list besides names of headers.
const connectionOptions = (headers: RawHeaders): readonly string[] => {
    let listed: readonly string[] = nothing;
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
