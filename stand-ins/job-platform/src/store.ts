import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest, type JsonServer } from "./json-server.js";

/** What the store does instead of serving. */
type StoreFault =
    | { readonly kind: "none" }
    /** Refuses every call with 503; nothing is done. */
    | { readonly kind: "busy" }
    | { readonly kind: "silent" }
    /** Every answer takes this long; the transactions of a part are done one after another. */
    | { readonly kind: "slow"; readonly answerMs: number }
    /** Carries out writes and cuts the connection instead of answering. */
    | { readonly kind: "lost-answers" }
    /** Carries out writes this much later than it cuts the connection. */
    | { readonly kind: "late-writes"; readonly delayMs: number };

/** Stand-in for the platform's store. */
export interface StoreStandIn {
    readonly address: string;
    setFault: (fault: StoreFault) => void;
    /** Writes a row as the operator or an executor does. */
    readonly put: (table: string, key: string, value: object) => void;
    readonly remove: (table: string, key: string) => void;
    /** Rows of a table with their values decoded. */
    readonly rows: (table: string) => readonly StoredRow[];
    /** Drops the history of changes, so that followers have to read anew. */
    readonly dropHistory: () => void;
    readonly close: () => Promise<void>;
}

/** A row as tests see it. */
interface StoredRow {
    readonly key: string;
    readonly part: string;
    readonly version: number;
    readonly value: unknown;
}

const address = z.object({ table: z.string(), part: z.string(), key: z.string() });
const transaction = z.object({
    expect: z.array(address.extend({ ver: z.number() })).default([]),
    set_keys: z.array(address.extend({ value: z.string() })).default([]),
    remove: z.array(address).default([]),
});

interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value: string;
    readonly ver: number;
    readonly tombstone: boolean;
}

type Address = z.output<typeof address>;

const MAX_ROWS = 500;
const HTTP_OK = 200;

/** Starts the stand-in. */
export const startStoreStandIn = async (): Promise<StoreStandIn> => {
    const rows = new Map<string, Row>();
    /** Resolves when the last transaction of a part is done. */
    const partQueues = new Map<string, Promise<void>>();
    let waiting: (() => void)[] = [];
    let version = 0;
    let historyFrom = 0;
    let fault: StoreFault = { kind: "none" };

    const idOf = ({ table, part, key }: Address): string => JSON.stringify([table, part, key]);
    const existing = (row: Address): Row | undefined => {
        const found = rows.get(idOf(row));
        return found?.tombstone === true ? undefined : found;
    };
    const write = (row: Address, value: string | undefined): void => {
        const { table, part, key } = row;
        rows.set(idOf(row), { table, part, key, value: value ?? "", ver: version, tombstone: value === undefined });
    };
    const wakeFollowers = (): void => {
        const followers = waiting;
        waiting = [];
        followers.forEach(wake => wake());
    };
    const now = (): { ver: number; now_ms: number } => ({ ver: version, now_ms: Math.round(performance.now()) });
    const commit = (body: unknown): JsonReply => {
        const { expect, set_keys: writes, remove } = transaction.parse(body);
        if (new Set([...writes, ...remove, ...expect].map(({ part }) => part)).size > 1) {
            return reply(400);
        }
        if (!expect.every(row => (existing(row)?.ver ?? 0) === row.ver)) {
            const current = expect.map(row => existing(row)).filter(row => row !== undefined);
            return reply(412, { rows: current, ...now() });
        }
        version++;
        writes.forEach(row => write(row, row.value));
        remove.forEach(row => write(row, undefined));
        wakeFollowers();
        return reply(HTTP_OK, now());
    };
    const read = ({ query }: JsonRequest): JsonReply => {
        const from = query.get("from") ?? "";
        const until = query.get("target") ?? undefined;
        const found = [...rows.values()]
            .filter(row => !row.tombstone && row.table === query.get("table") && row.part === query.get("part"))
            .filter(({ key }) => key >= from && (until === undefined || key < until))
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        return reply(HTTP_OK, { rows: found.slice(0, MAX_ROWS), truncated: found.length > MAX_ROWS, ...now() });
    };
    const follow = async ({ query }: JsonRequest): Promise<JsonReply> => {
        const after = Number(query.get("after"));
        const endMs = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            if (after < historyFrom) {
                return reply(410);
            }
            const changed = [...rows.values()]
                .filter(row => row.table === query.get("table") && row.ver > after)
                .sort((left, right) => left.ver - right.ver);
            const leftMs = endMs - performance.now();
            if (changed.length > 0 || leftMs <= 0) {
                return reply(HTTP_OK, { rows: changed, ...now() });
            }
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, leftMs);
                waiting.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    };
    const handle = async (request: JsonRequest): Promise<JsonReply> => {
        switch (fault.kind) {
            case "busy":
                return reply(503);
            case "silent":
                return { kind: "silence" };
            case "slow":
                await delayAnswer(request, fault.answerMs);
                break;
            case "none":
            case "lost-answers":
            case "late-writes":
                break;
        }
        switch (request.path) {
            case "/-/rows-tx":
                return commitUnder(request.body);
            case "/-/rows-get":
                return read(request);
            case "/-/rows-feed":
                return follow(request);
            default:
                return reply(404);
        }
    };
    const commitUnder = (body: unknown): JsonReply => {
        switch (fault.kind) {
            case "lost-answers":
                commit(body);
                return { kind: "cut" };
            case "late-writes":
                setTimeout(() => commit(body), fault.delayMs);
                return { kind: "cut" };
            case "none":
            case "busy":
            case "silent":
            case "slow":
                return commit(body);
        }
    };
    const delayAnswer = async ({ path, body }: JsonRequest, answerMs: number): Promise<void> => {
        if (path !== "/-/rows-tx") {
            await sleep(answerMs);
            return;
        }
        const { expect, set_keys: writes, remove } = transaction.parse(body);
        const part = [...expect, ...writes, ...remove][0]?.part ?? "";
        const turn = (partQueues.get(part) ?? Promise.resolve()).then(() => sleep(answerMs));
        partQueues.set(part, turn);
        await turn;
    };
    const server: JsonServer = await startJsonServer(handle);
    return {
        address: server.address,
        setFault: next => (fault = next),
        put: (table, key, value) => {
            version++;
            write({ table, part: "", key }, Buffer.from(JSON.stringify(value)).toString("base64"));
            wakeFollowers();
        },
        remove: (table, key) => {
            version++;
            write({ table, part: "", key }, undefined);
            wakeFollowers();
        },
        rows: table =>
            [...rows.values()]
                .filter(row => row.table === table && !row.tombstone)
                .map(({ key, part, ver, value }) => ({ key, part, version: ver, value: decode(value) })),
        dropHistory: () => {
            historyFrom = version;
            wakeFollowers();
        },
        close: () => {
            wakeFollowers();
            return server.close();
        },
    };
};

const decode = (value: string): unknown => JSON.parse(Buffer.from(value, "base64").toString()) as unknown;
