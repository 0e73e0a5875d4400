import type { Exchange, ExchangeFailure, ExchangeOptions } from "../src/exchange.js";
import type { Connections } from "../src/connection-pool.js";
import { runExchange } from "../src/run-exchange.js";

/** Everything that one exchange reported. */
export interface ExchangeRecord {
    readonly information: number[];
    readonly statusCode: number | undefined;
    readonly headers: readonly string[];
    readonly body: string;
    readonly trailers: readonly string[];
    readonly ends: number;
    readonly failure: ExchangeFailure | undefined;
    readonly bytesSent: number;
}

export interface RecordedExchange {
    readonly exchange: Exchange;
    readonly result: Promise<ExchangeRecord>;
}

/** Starts an exchange and collects its events until it ended and the connection was given back. */
export const startRecorded = (
    connections: Connections,
    options: Partial<ExchangeOptions> & { address: string },
): RecordedExchange => {
    const information: number[] = [];
    const chunks: Buffer[] = [];
    let head: { statusCode: number; headers: string[] } | undefined;
    let ends = 0;
    let finish: (record: ExchangeRecord) => void = () => undefined;
    const result = new Promise<ExchangeRecord>(resolve => {
        finish = resolve;
    });
    const end = (trailers: readonly string[], failure: ExchangeFailure | undefined): void => {
        ends += 1;
        // A second end, which must not happen, would arrive within this time.
        setTimeout(() => {
            finish({
                information,
                statusCode: head?.statusCode,
                headers: head?.headers ?? [],
                body: Buffer.concat(chunks).toString(),
                trailers,
                ends,
                failure,
                bytesSent: exchange.bytesSent,
            });
        }, 20);
    };
    const exchange = runExchange(connections, {
        method: "GET",
        path: "/",
        headers: ["host", "service.example"],
        body: undefined,
        fresh: false,
        limits: { connections: 9 },
        ...options,
        handler: {
            onInformation: statusCode => information.push(statusCode),
            onHead: received => {
                head = received;
            },
            onData: chunk => {
                chunks.push(chunk);
                return true;
            },
            onEnd: trailers => end(trailers, undefined),
            onFailure: failure => end([], failure),
            ...options.handler,
        },
    });
    return { exchange, result };
};

/** Runs one exchange to its end. */
export const runRecorded = (
    connections: Connections,
    options: Partial<ExchangeOptions> & { address: string },
): Promise<ExchangeRecord> => startRecorded(connections, options).result;
