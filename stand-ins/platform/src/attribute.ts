/** An attribute value in DynamoDB JSON. Only the types that the client uses are supported. */
export interface AttributeValue {
    readonly S?: string;
    readonly N?: string;
    readonly BOOL?: boolean;
    readonly M?: Readonly<Record<string, AttributeValue>>;
}

/** An item in DynamoDB JSON. */
export type Item = Readonly<Record<string, AttributeValue>>;

/** Attribute names and values by the placeholders of an expression. */
export interface Placeholders {
    readonly names: Readonly<Record<string, string>>;
    readonly values: Readonly<Record<string, AttributeValue>>;
}

/** Returns the value at a document path, or undefined if there is none. */
export const readPath = (item: Item | undefined, path: readonly string[]): AttributeValue | undefined => {
    const [name, ...rest] = path;
    const value = name === undefined ? undefined : item?.[name];
    return rest.length === 0 ? value : readPath(value?.M, rest);
};

/** Size of an item as the table service counts it: the bytes of all attribute names and values. */
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
