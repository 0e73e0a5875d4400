/** Rows of one kind, unique by id, in the order of their ids. */
export interface EntityTable<Id extends string, Row> {
    readonly rows: readonly Row[];
    get: (id: Id) => Row | undefined;
    has: (id: Id) => boolean;
}

const compareText = (left: string, right: string): number => {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
};

/** Builds a table; of rows with the same id the last one stays. */
export const entityTable = <Id extends string, Row>(
    rows: readonly Row[],
    idOf: (row: Row) => Id,
): EntityTable<Id, Row> => {
    const byId = new Map(rows.map(row => [idOf(row), row]));
    const sorted = [...byId.entries()].sort(([left], [right]) => compareText(left, right)).map(([, row]) => row);
    return { rows: sorted, get: id => byId.get(id), has: id => byId.has(id) };
};
