import { isDeepStrictEqual } from "node:util";
import { type AttributeValue, type Item, type Placeholders, readPath } from "./attribute.js";
import { validationFailure } from "./service-failure.js";

type Condition =
    | { readonly kind: "any" | "all"; readonly parts: readonly Condition[] }
    | { readonly kind: "exists" | "absent"; readonly path: readonly string[] }
    | {
          readonly kind: "compare";
          readonly path: readonly string[];
          readonly operator: Operator;
          readonly value: AttributeValue;
      };
type Operator = "=" | "<>" | "<";

const TOKEN_PATTERN = /\s*(#\w+(?:\.#\w+)*|:\w+|<>|[=<(),]|\w+)/y;

/**
 * Splits an expression into tokens. Attribute names must be written as placeholders, because the service reserves
 * several hundred words.
 */
export const tokenize = (expression: string): readonly string[] => {
    const pattern = new RegExp(TOKEN_PATTERN);
    const tokens: string[] = [];
    while (pattern.lastIndex < expression.trimEnd().length) {
        const match = pattern.exec(expression);
        if (match?.[1] === undefined) {
            throw validationFailure(`unsupported expression: ${expression}`);
        }
        tokens.push(match[1]);
    }
    return tokens;
};

/** Resolves a path of name placeholders such as `#registrations.#vm`. */
export const resolvePath = (token: string | undefined, placeholders: Placeholders): readonly string[] =>
    (token ?? "").split(".").map(part => {
        const name = placeholders.names[part];
        if (name === undefined) {
            throw validationFailure(`ExpressionAttributeNames does not define ${part}`);
        }
        return name;
    });

/** Resolves a value placeholder such as `:revision`. */
export const resolveValue = (token: string | undefined, placeholders: Placeholders): AttributeValue => {
    const value = placeholders.values[token ?? ""];
    if (value === undefined) {
        throw validationFailure(`ExpressionAttributeValues does not define ${token ?? "the value missing at the end"}`);
    }
    return value;
};

interface Parser {
    readonly tokens: readonly string[];
    readonly placeholders: Placeholders;
    position: number;
}

const nextToken = (parser: Parser): string | undefined => {
    const token = parser.tokens[parser.position];
    parser.position += 1;
    return token;
};

const expectToken = (parser: Parser, token: string): void => {
    const found = nextToken(parser);
    if (found !== token) {
        throw validationFailure(`expected ${token} in a condition, found ${found ?? "the end"}`);
    }
};

const parseList = (
    parser: Parser,
    separator: string,
    parseOne: (parser: Parser) => Condition,
): readonly Condition[] => {
    const first = parseOne(parser);
    if (parser.tokens[parser.position] !== separator) {
        return [first];
    }
    nextToken(parser);
    return [first, ...parseList(parser, separator, parseOne)];
};

const parseAny = (parser: Parser): Condition => ({ kind: "any", parts: parseList(parser, "OR", parseAll) });

const parseAll = (parser: Parser): Condition => ({ kind: "all", parts: parseList(parser, "AND", parseOne) });

const parseOne = (parser: Parser): Condition => {
    const token = nextToken(parser) ?? "the end";
    switch (token) {
        case "(": {
            const inner = parseAny(parser);
            expectToken(parser, ")");
            return inner;
        }
        case "attribute_exists":
            return { kind: "exists", path: parseArgument(parser) };
        case "attribute_not_exists":
            return { kind: "absent", path: parseArgument(parser) };
        default:
            return parseComparison(parser, token);
    }
};

const parseArgument = (parser: Parser): readonly string[] => {
    expectToken(parser, "(");
    const path = resolvePath(nextToken(parser), parser.placeholders);
    expectToken(parser, ")");
    return path;
};

const parseComparison = (parser: Parser, token: string): Condition => {
    const path = resolvePath(token, parser.placeholders);
    const operator = nextToken(parser);
    if (operator !== "=" && operator !== "<>" && operator !== "<") {
        throw validationFailure(`unsupported operator in a condition: ${operator ?? "the end"}`);
    }
    return { kind: "compare", path, operator, value: resolveValue(nextToken(parser), parser.placeholders) };
};

const isComparisonTrue = (operator: Operator, found: AttributeValue | undefined, value: AttributeValue): boolean => {
    switch (operator) {
        case "=":
            return isDeepStrictEqual(found, value);
        case "<>":
            return !isDeepStrictEqual(found, value);
        case "<":
            return found?.N !== undefined && value.N !== undefined && Number(found.N) < Number(value.N);
    }
};

const evaluate = (condition: Condition, item: Item | undefined): boolean => {
    switch (condition.kind) {
        case "any":
            return condition.parts.some(part => evaluate(part, item));
        case "all":
            return condition.parts.every(part => evaluate(part, item));
        case "exists":
            return readPath(item, condition.path) !== undefined;
        case "absent":
            return readPath(item, condition.path) === undefined;
        case "compare":
            return isComparisonTrue(condition.operator, readPath(item, condition.path), condition.value);
    }
};

/** Evaluates a condition expression. Rejects syntax that the client does not use. */
export const evaluateCondition = (expression: string, placeholders: Placeholders, item: Item | undefined): boolean => {
    const parser: Parser = { tokens: tokenize(expression), placeholders, position: 0 };
    const condition = parseAny(parser);
    if (parser.position !== parser.tokens.length) {
        throw validationFailure(`unsupported expression: ${expression}`);
    }
    return evaluate(condition, item);
};
