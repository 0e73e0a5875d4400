import type { Table } from "./report.js";
import type { Summary } from "./summary.js";

const WIDTH = 900;
const LABEL_WIDTH = 330;
const ROW_HEIGHT = 18;
const BAR_HEIGHT = 12;
const TITLE_ROWS = 2;
// Ratios are drawn on a logarithmic scale from 1 to this value.
const MAX_RATIO = 100;
const TARGET_RATIO = 1.5;
const WITHIN_TARGET_COLOUR = "#2a7f62";
const ABOVE_TARGET_COLOUR = "#b5493a";

/** Renders the worst p99 ratios as an SVG bar chart with one group per table. */
export const plotRatios = (tables: readonly Table[]): string => {
    const heights = tables.map(table => (table.rows.length + TITLE_ROWS) * ROW_HEIGHT);
    const tops = heights.map((unused, index) =>
        heights.slice(0, index).reduce((sum, height) => sum + height, ROW_HEIGHT),
    );
    const height = heights.reduce((sum, next) => sum + next, 2 * ROW_HEIGHT);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">`,
        `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
        `<text x="8" y="14">Worst ratio of the 99th percentile of other short work to the quiet run (logarithmic; line: aim ${TARGET_RATIO})</text>`,
        `<line x1="${xOf(TARGET_RATIO)}" x2="${xOf(TARGET_RATIO)}" y1="${ROW_HEIGHT}" y2="${height}" stroke="#888" stroke-dasharray="4 3"/>`,
        ...tables.flatMap((table, index) => plotTable(table, tops[index] ?? 0)),
        "</svg>",
        "",
    ].join("\n");
};

const plotTable = ({ installation, profile, topic, rows }: Table, top: number): readonly string[] => [
    `<text x="8" y="${top + ROW_HEIGHT}" font-weight="bold">${installation}, ${profile}: ${topic}</text>`,
    ...rows.flatMap((row, index) => plotRow(row, top + (index + TITLE_ROWS) * ROW_HEIGHT)),
];

const plotRow = (row: Summary, baseline: number): readonly string[] => {
    const colour = row.worstRatio <= TARGET_RATIO ? WITHIN_TARGET_COLOUR : ABOVE_TARGET_COLOUR;
    const width = Math.max(1, xOf(row.worstRatio) - LABEL_WIDTH);
    return [
        `<text x="16" y="${baseline}">${row.variant}</text>`,
        `<rect x="${LABEL_WIDTH}" y="${baseline - BAR_HEIGHT + 2}" width="${width.toFixed(1)}" height="${BAR_HEIGHT}" fill="${colour}"/>`,
        `<text x="${(LABEL_WIDTH + width + 4).toFixed(1)}" y="${baseline}">${row.worstRatio.toFixed(2)}</text>`,
    ];
};

const xOf = (ratio: number): number => {
    const position = Math.log(Math.min(MAX_RATIO, Math.max(1, ratio))) / Math.log(MAX_RATIO);
    return LABEL_WIDTH + position * (WIDTH - LABEL_WIDTH - 60);
};
