import { type AttributeValue, type Item, type Placeholders } from "./attribute.js";
import { resolvePath, resolveValue, tokenize } from "./condition.js";
import { validationFailure } from "./service-failure.js";

const PATH_FAILURE = "The document path provided in the update expression is invalid for update";

const replaceAt = (item: Item, path: readonly string[], value: AttributeValue | undefined): Item => {
    const [name, ...rest] = path;
    if (name === undefined) {
        throw validationFailure(PATH_FAILURE);
    }
    if (rest.length > 0) {
        const inner = item[name]?.M;
        if (inner === undefined) {
            throw validationFailure(PATH_FAILURE);
        }
        return { ...item, [name]: { M: replaceAt(inner, rest, value) } };
    }
    const others = Object.fromEntries(Object.entries(item).filter(([key]) => key !== name));
    return value === undefined ? others : { ...others, [name]: value };
};

const applySet = (item: Item, clause: string, placeholders: Placeholders): Item =>
    clause.split(",").reduce((current, assignment) => {
        const [path, equals, value, ...rest] = tokenize(assignment);
        if (equals !== "=" || rest.length > 0) {
            throw validationFailure(`unsupported assignment: ${assignment}`);
        }
        return replaceAt(current, resolvePath(path, placeholders), resolveValue(value, placeholders));
    }, item);

const applyRemove = (item: Item, clause: string, placeholders: Placeholders): Item =>
    clause
        .split(",")
        .reduce((current, path) => replaceAt(current, resolvePath(path.trim(), placeholders), undefined), item);

/** Applies `SET a = :b, ...` or `REMOVE a, ...`; other update expressions are refused. */
export const applyUpdate = (item: Item, expression: string, placeholders: Placeholders): Item => {
    const [, verb = "", clause = ""] = /^(SET|REMOVE)\s+(.*)$/s.exec(expression.trim()) ?? [];
    switch (verb) {
        case "SET":
            return applySet(item, clause, placeholders);
        case "REMOVE":
            return applyRemove(item, clause, placeholders);
        default:
            throw validationFailure(`unsupported update: ${expression}`);
    }
};
