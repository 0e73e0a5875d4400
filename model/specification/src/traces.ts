import { readFileSync, writeFileSync } from "node:fs";
import type { Variant, VariantCheck } from "./checks.js";
import type { ProtocolStep, Trace } from "./protocol.js";

const TRACE_DIRECTORY = new URL("../traces/", import.meta.url);

const traceFileUrl = ({ protocol, variant }: VariantCheck): URL =>
    new URL(`${protocol}-${variantName(variant)}.json`, TRACE_DIRECTORY);

/** Name of a variant of a protocol, in kebab-case. */
export const variantName = (variant: Variant): string => {
    switch (variant.type) {
        case "without-guard":
            return `without-${variant.guard}`;
        case "with-gap":
            return `with-${variant.gap}`;
    }
};

const variantField = (variant: Variant): string => {
    switch (variant.type) {
        case "without-guard":
            return `"withoutGuard": ${JSON.stringify(variant.guard)}`;
        case "with-gap":
            return `"withGap": ${JSON.stringify(variant.gap)}`;
    }
};

/** Loads the committed trace for a variant. */
export const loadTrace = (check: VariantCheck): Trace<ProtocolStep> =>
    JSON.parse(readFileSync(traceFileUrl(check), "utf8")) as Trace<ProtocolStep>;

/** Saves the trace for a variant with one step per line, so that diffs stay readable. */
export const saveTrace = (check: VariantCheck, { violations, steps }: Trace<ProtocolStep>): void => {
    const lines = steps.map(step => `        ${JSON.stringify(step).replaceAll('":', '": ').replaceAll(',"', ', "')}`);
    const text = [
        "{",
        `    "protocol": ${JSON.stringify(check.protocol)},`,
        `    ${variantField(check.variant)},`,
        `    "violations": ${JSON.stringify(violations)},`,
        `    "steps": [`,
        lines.map(line => line.replace("{", "{ ").replace(/\}$/, " }")).join(",\n"),
        "    ]",
        "}",
    ];
    writeFileSync(traceFileUrl(check), `${text.join("\n")}\n`);
};
