/** A value of the table service in its JSON form; the kinds that the client uses. */
export interface AttributeValue {
    readonly S?: string;
    readonly N?: string;
    readonly BOOL?: boolean;
    readonly M?: Readonly<Record<string, AttributeValue>>;
}

/** An item of the table service in its JSON form. */
export type Item = Readonly<Record<string, AttributeValue>>;

/** Names and values that stand for the placeholders of an expression. */
export interface Placeholders {
    readonly names: Readonly<Record<string, string>>;
    readonly values: Readonly<Record<string, AttributeValue>>;
}

/** The value at a path of names, or undefined. */
export const readPath = (item: Item | undefined, path: readonly string[]): AttributeValue | undefined => {
    const [name, ...rest] = path;
    const value = name === undefined ? undefined : item?.[name];
    return rest.length === 0 ? value : readPath(value?.M, rest);
};

/** Bytes of an item as the table service counts them: the names and the values. */
export const itemBytes = (item: Item): number =>
    Object.entries(item)
        .map(([name, value]) => Buffer.byteLength(name) + valueBytes(value))
        .reduce((sum, bytes) => sum + bytes, 0);

const valueBytes = (value: AttributeValue): number => {
    if (value.M !== undefined) {
        return itemBytes(value.M);
    }
    return Buffer.byteLength(value.S ?? value.N ?? "1");
};
