import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { startPlatformStandIn } from "../src/start-platform-stand-in.js";

interface Answer {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

const startTable = async (context: TestContext) => {
    const standIn = await startPlatformStandIn();
    context.after(() => standIn.close());
    return async (operation: string, request: Record<string, unknown>): Promise<Answer> => {
        const response = await fetch(standIn.tableUrl, {
            method: "POST",
            headers: { "x-amz-target": `DynamoDB_20120810.${operation}` },
            body: JSON.stringify(request),
        });
        return { status: response.status, body: (await response.json()) as Record<string, unknown> };
    };
};

const put = (id: string, state: string, extra: Record<string, unknown> = {}) => ({
    TableName: "t",
    Item: { id: { S: id }, state: { S: state }, size: { N: "9" } },
    ...extra,
});
const names = { "#state": "state" };
const ifState = (state: string) => ({
    ConditionExpression: "#state = :state",
    ExpressionAttributeNames: names,
    ExpressionAttributeValues: { ":state": { S: state } },
});
const get = (id: string) => ({ TableName: "t", Key: { id: { S: id } }, ConsistentRead: true });
const typeOf = (answer: Answer) => String(answer.body["__type"]).replace(/^.*#/, "");

test("a conditional write takes effect only if its condition holds, and returns the old item otherwise", async context => {
    const call = await startTable(context);
    await call("PutItem", put("a", "old"));
    const refused = await call(
        "PutItem",
        put("a", "new", { ...ifState("other"), ReturnValuesOnConditionCheckFailure: "ALL_OLD" }),
    );
    assert.equal(refused.status, 400);
    assert.equal(typeOf(refused), "ConditionalCheckFailedException");
    assert.deepEqual(refused.body["Item"], put("a", "old").Item);
    assert.equal((await call("PutItem", put("a", "new", ifState("old")))).status, 200);
    assert.deepEqual((await call("GetItem", get("a"))).body, { Item: put("a", "new").Item });
});

test("conditions compare numbers by value and combine with AND, OR and parentheses", async context => {
    const call = await startTable(context);
    const write = async (condition: string, size: string) => {
        await call("PutItem", put("a", "old"));
        const answer = await call("PutItem", {
            ...put("a", "new"),
            ConditionExpression: condition,
            ExpressionAttributeNames: { ...names, "#size": "size" },
            ExpressionAttributeValues: { ":state": { S: "old" }, ":size": { N: size } },
        });
        return answer.status === 200;
    };
    // As strings, "9" would not be less than "10".
    assert.equal(await write("#size < :size AND #state = :state", "10"), true);
    assert.equal(await write("#size < :size AND #state = :state", "9"), false);
    assert.equal(await write("#size < :size OR #state = :state", "9"), true);
    assert.equal(await write("(#size < :size OR #state = :state) AND attribute_not_exists(#size)", "9"), false);
    assert.equal(await write("#state <> :state OR #size = :size", "9"), true);
});

test("a transaction applies all writes or none, and its error tells which conditions failed", async context => {
    const call = await startTable(context);
    await call("PutItem", put("a", "old"));
    const cancelled = await call("TransactWriteItems", {
        TransactItems: [{ Put: put("b", "new") }, { Put: put("a", "new", ifState("other")) }],
    });
    assert.equal(typeOf(cancelled), "TransactionCanceledException");
    assert.deepEqual(
        (cancelled.body["CancellationReasons"] as { Code: string }[]).map(reason => reason.Code),
        ["None", "ConditionalCheckFailed"],
    );
    assert.deepEqual((await call("GetItem", get("b"))).body, {});
    const repeated = await call("TransactWriteItems", {
        TransactItems: [{ Put: put("b", "1") }, { Put: put("b", "2") }],
    });
    assert.equal(typeOf(repeated), "ValidationException");
});

test("requests and expressions that the client does not use are rejected", async context => {
    const call = await startTable(context);
    const refused = [
        await call("Scan", { TableName: "t" }),
        await call("GetItem", { TableName: "t", Key: { id: { S: "a" } } }),
        await call("PutItem", put("a", "new", { ...ifState("old"), ConditionExpression: "state = :state" })),
        await call("PutItem", put("a", "new", { ...ifState("old"), ConditionExpression: "#state >= :state" })),
        await call("PutItem", put("a", "new", { ExpressionAttributeNames: names })),
        await call("PutItem", put("a", "x".repeat(400 * 1024))),
        await call("UpdateItem", {
            TableName: "t",
            Key: { id: { S: "a" } },
            UpdateExpression: "SET #state.#state = :state",
            ExpressionAttributeNames: names,
            ExpressionAttributeValues: { ":state": { S: "new" } },
        }),
    ];
    assert.deepEqual(
        refused.map(typeOf),
        refused.map(() => "ValidationException"),
    );
    assert.deepEqual((await call("GetItem", get("a"))).body, {});
});
