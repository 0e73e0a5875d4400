import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest, type JsonServer } from "./json-server.js";

/** Fault that the store simulates until the next call of `setFault`. */
type StoreFault =
    | { readonly kind: "none" }
    /** Rejects all calls with 503 without carrying them out. */
    | { readonly kind: "busy" }
    /** Answers no requests. */
    | { readonly kind: "silent" }
    /** Delays each call by this time. Transactions on one part run one after another. */
    | { readonly kind: "slow"; readonly answerMs: number }
    /** Carries out writes but closes the connection instead of answering. */
    | { readonly kind: "lost-answers" }
    /** Carries out writes at once but answers them only after the delay. */
    | { readonly kind: "late-answers"; readonly delayMs: number }
    /** Closes the connection instead of answering a write, and carries the write out after the delay. */
    | { readonly kind: "late-writes"; readonly delayMs: number }
    /** Answers no request for changes that may wait; all other calls are answered. */
    | { readonly kind: "silent-long-polls" };

/** In-memory stand-in for the platform's store: transactions, reads and the change feed. */
export interface StoreStandIn {
    readonly address: string;
    setFault: (fault: StoreFault) => void;
    /** Writes a row in the part "", as an operator or an executor would. */
    readonly put: (table: string, key: string, value: object) => void;
    /** Writes a row in the part "" whose value is the given text, which need not be JSON. */
    readonly putText: (table: string, key: string, text: string) => void;
    readonly remove: (table: string, key: string) => void;
    /** Changes the value of a row as if it had been written so in the first place: its version stays, and no follower hears of it. */
    readonly amend: (
        row: { readonly table: string; readonly part: string; readonly key: string },
        value: unknown,
    ) => void;
    /** Returns the rows of a table with decoded values. */
    readonly rows: (table: string) => readonly StoredRow[];
    /** Drops the change history, so that followers get 410 and must read the table again. */
    readonly dropHistory: () => void;
    readonly close: () => Promise<void>;
}

/** A row with its value decoded. */
interface StoredRow {
    readonly key: string;
    readonly part: string;
    readonly version: number;
    readonly value: unknown;
}

const addressSchema = z.object({ table: z.string(), part: z.string(), key: z.string() });
const transactionSchema = z.object({
    expect: z.array(addressSchema.extend({ ver: z.number() })).default([]),
    set_keys: z.array(addressSchema.extend({ value: z.string() })).default([]),
    remove: z.array(addressSchema).default([]),
});

interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value: string;
    readonly ver: number;
    readonly tombstone: boolean;
}

type RowAddress = z.output<typeof addressSchema>;

const MAX_ROWS = 500;
const HTTP_OK = 200;

export const startStoreStandIn = async (): Promise<StoreStandIn> => {
    const rows = new Map<string, Row>();
    /** Promise by part that resolves when the delays of the part's queued transactions have passed. */
    const partQueues = new Map<string, Promise<void>>();
    /** Resolves the feed requests that wait for a change. */
    let waitingFollowers: (() => void)[] = [];
    let version = 0;
    /** Lowest version from which the feed can still be read. */
    let historyStart = 0;
    let fault: StoreFault = { kind: "none" };

    const rowId = ({ table, part, key }: RowAddress): string => JSON.stringify([table, part, key]);
    const findRow = (row: RowAddress): Row | undefined => {
        const found = rows.get(rowId(row));
        return found?.tombstone === true ? undefined : found;
    };
    const write = (row: RowAddress, value: string | undefined): void => {
        const { table, part, key } = row;
        rows.set(rowId(row), { table, part, key, value: value ?? "", ver: version, tombstone: value === undefined });
    };
    const wakeFollowers = (): void => {
        const followers = waitingFollowers;
        waitingFollowers = [];
        followers.forEach(wake => wake());
    };
    const versionAndTime = (): { ver: number; now_ms: number } => ({
        ver: version,
        now_ms: Math.round(performance.now()),
    });
    const commit = (body: unknown): JsonReply => {
        const { expect, set_keys: writes, remove } = transactionSchema.parse(body);
        if (new Set([...writes, ...remove, ...expect].map(({ part }) => part)).size > 1) {
            return reply(400);
        }
        if (!expect.every(row => (findRow(row)?.ver ?? 0) === row.ver)) {
            const current = expect.map(row => findRow(row)).filter(row => row !== undefined);
            return reply(412, { rows: current, ...versionAndTime() });
        }
        version++;
        writes.forEach(row => write(row, row.value));
        remove.forEach(row => write(row, undefined));
        wakeFollowers();
        return reply(HTTP_OK, versionAndTime());
    };
    const read = ({ query }: JsonRequest): JsonReply => {
        const from = query.get("from") ?? "";
        const until = query.get("target") ?? undefined;
        const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
        const found = [...rows.values()]
            .filter(row => !row.tombstone && row.table === query.get("table") && row.part === query.get("part"))
            .filter(({ key }) => key >= from && (until === undefined || key < until))
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        return reply(HTTP_OK, {
            rows: found.slice(0, limit),
            truncated: found.length > limit,
            ...versionAndTime(),
        });
    };
    const follow = async ({ query }: JsonRequest): Promise<JsonReply> => {
        const after = Number(query.get("after"));
        const endMs = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            if (after < historyStart) {
                return reply(410);
            }
            const changed = [...rows.values()]
                .filter(row => row.table === query.get("table") && row.ver > after)
                .sort((left, right) => left.ver - right.ver);
            const leftMs = endMs - performance.now();
            if (changed.length > 0 || leftMs <= 0) {
                return reply(HTTP_OK, { rows: changed, ...versionAndTime() });
            }
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, leftMs);
                waitingFollowers.push(() => {
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
                return { kind: "no-reply" };
            case "slow":
                await delayAnswer(request, fault.answerMs);
                break;
            case "silent-long-polls":
                if (Number(request.query.get("wait_ms") ?? 0) > 0) {
                    return { kind: "no-reply" };
                }
                break;
            case "none":
            case "lost-answers":
            case "late-answers":
            case "late-writes":
                break;
        }
        switch (request.path) {
            case "/-/rows-tx":
                return commitWithFault(request.body);
            case "/-/rows-get":
                return read(request);
            case "/-/rows-feed":
                return follow(request);
            default:
                return reply(404);
        }
    };
    const commitWithFault = async (body: unknown): Promise<JsonReply> => {
        switch (fault.kind) {
            case "lost-answers":
                commit(body);
                return { kind: "disconnect" };
            case "late-answers": {
                const answer = commit(body);
                await sleep(fault.delayMs);
                return answer;
            }
            case "late-writes":
                setTimeout(() => commit(body), fault.delayMs);
                return { kind: "disconnect" };
            case "none":
            case "busy":
            case "silent":
            case "silent-long-polls":
            case "slow":
                return commit(body);
        }
    };
    const delayAnswer = async ({ path, body }: JsonRequest, answerMs: number): Promise<void> => {
        if (path !== "/-/rows-tx") {
            await sleep(answerMs);
            return;
        }
        const { expect, set_keys: writes, remove } = transactionSchema.parse(body);
        const part = [...expect, ...writes, ...remove][0]?.part ?? "";
        const partDelay = (partQueues.get(part) ?? Promise.resolve()).then(() => sleep(answerMs));
        partQueues.set(part, partDelay);
        await partDelay;
    };
    const putText = (table: string, key: string, text: string): void => {
        version++;
        write({ table, part: "", key }, Buffer.from(text).toString("base64"));
        wakeFollowers();
    };
    const server: JsonServer = await startJsonServer(handle);
    return {
        address: server.address,
        setFault: next => (fault = next),
        put: (table, key, value) => putText(table, key, JSON.stringify(value)),
        putText,
        remove: (table, key) => {
            version++;
            write({ table, part: "", key }, undefined);
            wakeFollowers();
        },
        amend: (row, value) => {
            const found = findRow(row);
            if (found !== undefined) {
                rows.set(rowId(row), { ...found, value: Buffer.from(JSON.stringify(value)).toString("base64") });
            }
        },
        rows: table =>
            [...rows.values()]
                .filter(row => row.table === table && !row.tombstone)
                .map(({ key, part, ver, value }) => ({ key, part, version: ver, value: decode(value) })),
        dropHistory: () => {
            historyStart = version;
            wakeFollowers();
        },
        close: () => {
            wakeFollowers();
            return server.close();
        },
    };
};

const decode = (value: string): unknown => JSON.parse(Buffer.from(value, "base64").toString()) as unknown;
