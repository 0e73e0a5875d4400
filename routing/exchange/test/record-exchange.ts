import type { Exchange, ExchangeFailure, ExchangeHandler, ExchangeOptions } from "../src/exchange.js";
import type { ConnectionPool } from "../src/connection-pool.js";
import { runExchange } from "../src/run-exchange.js";

/** Events that one exchange reported. */
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

/** Exchange options that override `exchangeDefaults`. */
export type RecordedOptions = Partial<Omit<ExchangeOptions, "handler">> & { address: string };

export interface RecordedExchange {
    readonly exchange: Exchange;
    readonly result: Promise<ExchangeRecord>;
}

export const exchangeDefaults: Omit<ExchangeOptions, "address" | "handler"> = {
    method: "GET",
    path: "/",
    headers: ["host", "service.example"],
    body: undefined,
    fresh: false,
    limits: { connections: 9 },
};

export const noopHandler: ExchangeHandler = {
    onInformation: () => undefined,
    onHead: () => undefined,
    onData: () => true,
    onEnd: () => undefined,
    onFailure: () => undefined,
};

/** Starts an exchange and records its events until it has ended and its connection was released. */
export const startRecorded = (connections: ConnectionPool, options: RecordedOptions): RecordedExchange => {
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
        // Waits for an erroneous second end, which would arrive within this time.
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
        ...exchangeDefaults,
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
        },
    });
    return { exchange, result };
};

/** Runs one exchange to its end and returns the recorded events. */
export const runRecorded = (connections: ConnectionPool, options: RecordedOptions): Promise<ExchangeRecord> =>
    startRecorded(connections, options).result;
