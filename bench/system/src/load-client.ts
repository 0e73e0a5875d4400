import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";

export interface LoadOptions {
    /** Base URLs, used round-robin. */
    readonly urls: readonly string[];
    readonly path: string;
    readonly headers: Record<string, string>;
    /** Number of requests in flight. */
    readonly concurrency: number;
    readonly durationMs: number;
}

/** Throughput, failures and latencies of a load run. */
export interface LoadResult {
    readonly requestsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly failures: number;
    /** Latencies in microseconds. */
    readonly latencies: Histogram;
}

const MICROSECONDS_PER_MS = 1000;
const OK = 200;

/** Sends requests at constant concurrency for a given duration. */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
    const pools = options.urls.map(url => new Pool(url, { connections: options.concurrency, pipelining: 1 }));
    const latencies = build({ lowestDiscernibleValue: 1, numberOfSignificantValueDigits: 3 });
    const totals = { requests: 0, bytes: 0, failures: 0 };
    const startedAt = performance.now();
    const worker = async (index: number): Promise<void> => {
        let turn = index;
        while (performance.now() - startedAt < options.durationMs) {
            turn += 1;
            const sentAt = performance.now();
            const bytes = await sendOne(pools[turn % pools.length], options).catch(() => undefined);
            if (bytes === undefined) {
                totals.failures += 1;
            } else {
                totals.requests += 1;
                totals.bytes += bytes;
                latencies.recordValue(Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS));
            }
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, (unused, index) => worker(index)));
    const seconds = (performance.now() - startedAt) / 1000;
    await Promise.all(pools.map(pool => pool.destroy()));
    return {
        requestsPerSecond: totals.requests / seconds,
        bytesPerSecond: totals.bytes / seconds,
        failures: totals.failures,
        latencies,
    };
};

const sendOne = async (pool: Pool | undefined, { path, headers }: LoadOptions): Promise<number> => {
    const response = await pool?.request({ path, method: "GET", headers });
    if (response?.statusCode !== OK) {
        await response?.body.dump();
        throw new Error(`expected status 200, got ${response?.statusCode ?? 0}`);
    }
    let bytes = 0;
    for await (const chunk of response.body) {
        bytes += (chunk as Buffer).length;
    }
    return bytes;
};
