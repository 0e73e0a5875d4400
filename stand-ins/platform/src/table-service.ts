import type { Item } from "./attribute.js";
import type { Fault } from "./fault.js";
import type { Service, ServiceReply, ServiceRequest } from "./service.js";
import { startService } from "./service.js";
import { ServiceFailure, validationFailure } from "./service-failure.js";
import { type BatchGet, parseTableRequest, tableRequests } from "./table-request.js";
import { type TableStore, writeItem, writeTransaction } from "./table-store.js";
import type { ListenAddress } from "@almondusher/settings/listen-schema";

const TARGET_PREFIX = "DynamoDB_20120810.";
const READS = ["GetItem", "BatchGetItem"];

const operationOf = (request: ServiceRequest): string =>
    String(request.headers["x-amz-target"] ?? "unknown").replace(TARGET_PREFIX, "");

const readBatch = (store: TableStore, { RequestItems: requested }: BatchGet, batchKeys: number) => {
    const tables = Object.entries(requested);
    const responses = tables.map(([table, { Keys: keys }]): [string, readonly Item[]] => [
        table,
        keys
            .slice(0, batchKeys)
            .map(key => store.get(key.id.S))
            .filter(item => item !== undefined),
    ]);
    const unprocessed = tables
        .filter(([, { Keys: keys }]) => keys.length > batchKeys)
        .map(([table, entry]) => [table, { ...entry, Keys: entry.Keys.slice(batchKeys) }] as const);
    return { Responses: Object.fromEntries(responses), UnprocessedKeys: Object.fromEntries(unprocessed) };
};

const execute = (store: TableStore, request: ServiceRequest, fault: Fault): unknown => {
    const operation = operationOf(request);
    switch (operation) {
        case "GetItem": {
            const item = store.get(parseTableRequest(tableRequests.GetItem, request.body).Key.id.S);
            return item === undefined ? {} : { Item: item };
        }
        case "BatchGetItem": {
            const batch = parseTableRequest(tableRequests.BatchGetItem, request.body);
            return readBatch(store, batch, fault.batchKeys ?? Infinity);
        }
        case "PutItem":
            writeItem(store, parseTableRequest(tableRequests.PutItem, request.body));
            return {};
        case "UpdateItem":
            writeItem(store, parseTableRequest(tableRequests.UpdateItem, request.body));
            return {};
        case "TransactWriteItems":
            writeTransaction(store, parseTableRequest(tableRequests.TransactWriteItems, request.body));
            return {};
        default:
            throw validationFailure(`unsupported operation ${operation}`);
    }
};

const headers = { "content-type": "application/x-amz-json-1.0" };

const failureReply = ({ type, message, fields }: ServiceFailure): ServiceReply => ({
    status: 400,
    headers,
    body: JSON.stringify({ __type: `com.amazonaws.dynamodb.v20120810#${type}`, message, ...fields }),
});

const answer = (store: TableStore, request: ServiceRequest, fault: Fault): ServiceReply => {
    try {
        return { status: 200, headers, body: JSON.stringify(execute(store, request, fault)) };
    } catch (error) {
        const failure = error instanceof ServiceFailure ? error : validationFailure(String(error));
        return failureReply(failure);
    }
};

/**
 * Starts the table service: the operations of the DynamoDB JSON protocol that the client uses. All table names refer to
 * the same table.
 */
export const startTableService = (listen: ListenAddress): Promise<Service> => {
    const store: TableStore = new Map();
    return startService({
        listen,
        operationOf,
        isWrite: request => !READS.includes(operationOf(request)),
        answer: (request, fault) => answer(store, request, fault),
        busyReply: failureReply(new ServiceFailure("ProvisionedThroughputExceededException", "Too many requests")),
    });
};
