/** Rows of one kind, unique and sorted by id. */
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

/** Builds a table; the last one of several rows with the same id is kept. */
export const entityTable = <Id extends string, Row>(
    rows: readonly Row[],
    idOf: (row: Row) => Id,
): EntityTable<Id, Row> => {
    const byId = new Map(rows.map(row => [idOf(row), row]));
    const sorted = [...byId.entries()].sort(([left], [right]) => compareText(left, right)).map(([, row]) => row);
    return { rows: sorted, get: id => byId.get(id), has: id => byId.has(id) };
};
