/** Chooses how many rows a page asks for, from the answers to earlier pages of the same range. */
export interface PageSize {
    /** Highest number of rows of the next page. */
    readonly rows: () => number;
    /** Must be called when the page was answered. */
    readonly answered: () => void;
    /** Must be called when the page got no answer, or none that the reading can go on from. */
    readonly lost: () => void;
}

interface Size {
    readonly rows: number;
    /** Rows of the answered pages of this size. */
    answeredRows: number;
    lostPages: number;
}

// In descending order. A page of the largest size with rows of several KB takes less than the time limit of a call on a link
// of 10 Mbit/s.
const PAGE_ROWS = [100, 25, 5];

// A lost page costs the time limit of a call, many times the time of one that is answered.
const rowsPerLostPage = ({ rows, answeredRows, lostPages }: Size): number => (rows + answeredRows) / lostPages;

const isAnswered = ({ answeredRows }: Size): boolean => answeredRows > 0;

/**
 * Creates the choice, which begins with the largest size. A page may be lost because it is too large for the link, or for
 * reasons that have nothing to do with its size; in the second case small pages only make the reading longer. So the first
 * lost page of a size that was answered before is asked for again as it was. After a further one the size with the most rows
 * for each lost page is next, where a size that has not lost any comes first. After an answered page the next larger size is
 * tried, if it does not have fewer rows for each lost page.
 */
export const createPageSize = (): PageSize => {
    const sizes: readonly Size[] = PAGE_ROWS.map(rows => ({ rows, answeredRows: 0, lostPages: 0 }));
    let current = sizes[0] as Size;
    /** True if the current size was answered before and has not lost a page since the last answer. */
    let mayRepeat = false;
    return {
        rows: () => current.rows,
        answered: () => {
            current.answeredRows += current.rows;
            const larger = sizes[sizes.indexOf(current) - 1];
            const currentRows = rowsPerLostPage({ ...current, lostPages: Math.max(1, current.lostPages) });
            if (larger !== undefined && rowsPerLostPage(larger) >= currentRows) {
                current = larger;
            }
            mayRepeat = isAnswered(current);
        },
        lost: () => {
            current.lostPages++;
            if (!mayRepeat) {
                current = sizes.reduce((best, size) => (rowsPerLostPage(size) > rowsPerLostPage(best) ? size : best));
            }
            mayRepeat = false;
        },
    };
};
