/** Title of a column and the function that returns the text of its cell in a row. */
export interface Column<Row> {
    readonly title: string;
    readonly text: (row: Row) => string;
}

const SEPARATOR = "  ";

/** Formats rows as a table with aligned columns, or as `(none)` if there are no rows. */
export const formatTable = <Row>(rows: readonly Row[], columns: readonly Column<Row>[]): string => {
    if (rows.length === 0) {
        return "(none)";
    }
    const cells = [columns.map(column => column.title), ...rows.map(row => columns.map(column => column.text(row)))];
    const widths = columns.map((unusedColumn, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)));
    return cells
        .map(line =>
            line
                .map((cell, index) => cell.padEnd(widths[index] ?? 0))
                .join(SEPARATOR)
                .trimEnd(),
        )
        .join("\n");
};
