export interface Point {
    readonly x: number;
    readonly y: number;
}

/** A least-squares line. */
export interface LinearFit {
    readonly intercept: number;
    readonly slope: number;
    /** Largest absolute residual, relative to the largest absolute y value. */
    readonly maxError: number;
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line by least squares; the slope is 0 if all points have the same x. */
export const fitLine = (points: readonly Point[]): LinearFit => {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const slope = spread === 0 ? 0 : points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / spread;
    const intercept = meanY - slope * meanX;
    const largest = Math.max(...points.map(({ y }) => Math.abs(y)), Number.MIN_VALUE);
    const maxError = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x))) / largest;
    return { intercept, slope, maxError };
};
