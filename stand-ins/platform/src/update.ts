import { type AttributeValue, type Item, type Placeholders } from "./attribute.js";
import { resolvePath, resolveValue, tokenize } from "./condition.js";
import { validationFailure } from "./service-failure.js";

const INVALID_PATH = "The document path provided in the update expression is invalid for update";

const withValueAt = (item: Item, path: readonly string[], value: AttributeValue | undefined): Item => {
    const [name, ...rest] = path;
    if (name === undefined) {
        throw validationFailure(INVALID_PATH);
    }
    if (rest.length > 0) {
        const inner = item[name]?.M;
        if (inner === undefined) {
            throw validationFailure(INVALID_PATH);
        }
        return { ...item, [name]: { M: withValueAt(inner, rest, value) } };
    }
    const others = Object.fromEntries(Object.entries(item).filter(([key]) => key !== name));
    return value === undefined ? others : { ...others, [name]: value };
};

const applySet = (item: Item, clause: string, placeholders: Placeholders): Item =>
    clause.split(",").reduce((current, assignment) => {
        const [path, equals, value, ...rest] = tokenize(assignment);
        if (equals !== "=" || rest.length > 0) {
            throw validationFailure(`unsupported assignment in an update expression: ${assignment}`);
        }
        return withValueAt(current, resolvePath(path, placeholders), resolveValue(value, placeholders));
    }, item);

const applyRemove = (item: Item, clause: string, placeholders: Placeholders): Item =>
    clause
        .split(",")
        .reduce((current, path) => withValueAt(current, resolvePath(path.trim(), placeholders), undefined), item);

/** Applies the update expression `SET #a = :b, ...` or `REMOVE #a, ...`. Rejects all others. */
export const applyUpdate = (item: Item, expression: string, placeholders: Placeholders): Item => {
    const [, verb = "", clause = ""] = /^(SET|REMOVE)\s+(.*)$/s.exec(expression.trim()) ?? [];
    switch (verb) {
        case "SET":
            return applySet(item, clause, placeholders);
        case "REMOVE":
            return applyRemove(item, clause, placeholders);
        default:
            throw validationFailure(`unsupported update expression: ${expression}`);
    }
};
