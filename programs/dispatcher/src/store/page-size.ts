/** An answered page. */
interface AnsweredPage {
    /** Number of rows that could be read. */
    readonly rows: number;
    /** About how many bytes these rows took in the response. */
    readonly bytes: number;
}

/** Chooses how many rows a page asks for, from the answers to earlier pages of the same range. */
export interface PageSize {
    /** Highest number of rows of the next page. */
    readonly rows: () => number;
    /** Must be called when the page was answered. */
    readonly answered: (page: AnsweredPage) => void;
    /** Must be called when the page got no answer, or none that the reading can go on from. */
    readonly lost: () => void;
}

interface Size {
    rows: number;
    /** Rows of the answered pages of this size. */
    answeredRows: number;
    lostPages: number;
}

// In descending order. A page of the first of these sizes with rows of several KB takes less than the time limit of a call on a link
// of 10 Mbit/s.
const PAGE_ROWS = [100, 25, 5];
// The store has at most this many rows in an answer.
const MAX_PAGE_ROWS = 500;
// A page of this size takes a third of a second on a link of 10 Mbit/s, a bit more than a third of the time limit of a call,
// which leaves the rest to other readings on the same link.
const TARGET_PAGE_BYTES = 400_000;

// A lost page costs the time limit of a call, many times the time of one that is answered.
const rowsPerLostPage = ({ rows, answeredRows, lostPages }: Size): number => (rows + answeredRows) / lostPages;

const isAnswered = ({ answeredRows }: Size): boolean => answeredRows > 0;

const createSize = (rows: number): Size => ({ rows, answeredRows: 0, lostPages: 0 });

const fittingRows = ({ rows, bytes }: AnsweredPage): number =>
    Math.min(MAX_PAGE_ROWS, Math.floor((TARGET_PAGE_BYTES * rows) / Math.max(1, bytes)));

/**
 * Creates the choice, which begins with the largest fixed size. Above it is one of as many rows as fit the target in bytes by
 * the mean of the last page of that size or more, if these are more rows.
 *
 * A page may be lost because it is too large for the link, or for reasons that have nothing to do with its size; in the second
 * case small pages only make the reading longer. So the first lost page of a size that was answered before is asked for again
 * as it was, or in the largest fixed size if it had more rows. After a further one the fixed size with the most rows for each
 * lost page is next, where a size that has not lost any comes first. After an answered page the next larger size is tried, if
 * it does not have fewer rows for each lost page.
 */
export const createPageSize = (): PageSize => {
    const fixed: readonly Size[] = PAGE_ROWS.map(createSize);
    const largest = fixed[0] as Size;
    const byBytes = createSize(largest.rows);
    const sizes: readonly Size[] = [byBytes, ...fixed];
    let current = largest;
    /** True if the current size was answered before and has not lost a page since the last answer. */
    let mayRepeat = false;
    return {
        rows: () => current.rows,
        answered: page => {
            current.answeredRows += page.rows;
            byBytes.rows = current.rows < largest.rows ? largest.rows : Math.max(largest.rows, fittingRows(page));
            const larger = sizes[sizes.indexOf(current) - 1];
            const currentRows = rowsPerLostPage({ ...current, lostPages: Math.max(1, current.lostPages) });
            if (larger !== undefined && rowsPerLostPage(larger) >= currentRows) {
                current = larger;
            }
            if (byBytes.rows === largest.rows && current === byBytes) {
                current = largest;
            }
            mayRepeat = isAnswered(current);
        },
        lost: () => {
            current.lostPages++;
            if (current === byBytes) {
                current = largest;
                mayRepeat = isAnswered(largest);
                return;
            }
            if (!mayRepeat) {
                current = fixed.reduce((best, size) => (rowsPerLostPage(size) > rowsPerLostPage(best) ? size : best));
            }
            mayRepeat = false;
        },
    };
};
