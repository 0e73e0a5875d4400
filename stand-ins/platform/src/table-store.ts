import { type Item, itemBytes, type Placeholders } from "./attribute.js";
import { evaluateCondition } from "./condition.js";
import { ServiceFailure, validationFailure } from "./service-failure.js";
import type { Check, Put, Transaction, Update } from "./table-request.js";
import { applyUpdate } from "./update.js";

const MAX_ITEM_BYTES = 400 * 1024;

/** Items by id. */
export type TableStore = Map<string, Item>;

/** A validated write that was not applied yet. */
interface StagedWrite {
    readonly id: string;
    /** The condition does not hold. */
    readonly failed: boolean;
    readonly old: Item | undefined;
    /** Item to store. Absent if the condition failed and for a ConditionCheck. */
    readonly next?: Item;
    /** The error is to contain the old item. */
    readonly returnsOld: boolean;
}

const placeholdersOf = (request: Put | Update | Check): Placeholders => ({
    names: request.ExpressionAttributeNames,
    values: request.ExpressionAttributeValues,
});

/** Rejects placeholders that no expression uses, as the table service does. */
const checkPlaceholders = (request: Put | Update | Check): void => {
    const text = `${request.ConditionExpression ?? ""} ${"UpdateExpression" in request ? request.UpdateExpression : ""}`;
    const used = new Set(text.match(/[#:]\w+/g) ?? []);
    const { names, values } = placeholdersOf(request);
    const unused = [...Object.keys(names), ...Object.keys(values)].filter(name => !used.has(name));
    if (unused.length > 0) {
        throw validationFailure(`placeholders that no expression uses: ${unused.join(", ")}`);
    }
};

const checkSize = (item: Item): Item => {
    if (itemBytes(item) > MAX_ITEM_BYTES) {
        throw validationFailure("Item size has exceeded the maximum allowed size");
    }
    return item;
};

const stageWrite = (store: TableStore, request: Put | Update | Check): StagedWrite => {
    checkPlaceholders(request);
    const id = "Item" in request ? request.Item.id.S : request.Key.id.S;
    const old = store.get(id);
    const condition = request.ConditionExpression;
    const failed = condition !== undefined && !evaluateCondition(condition, placeholdersOf(request), old);
    const staged = { id, failed, old, returnsOld: request.ReturnValuesOnConditionCheckFailure === "ALL_OLD" };
    if (failed) {
        return staged;
    }
    if ("Item" in request) {
        return { ...staged, next: checkSize(request.Item) };
    }
    if ("UpdateExpression" in request) {
        const base = old ?? { id: { S: id } };
        return { ...staged, next: checkSize(applyUpdate(base, request.UpdateExpression, placeholdersOf(request))) };
    }
    return staged;
};

const oldItem = (staged: StagedWrite): { Item?: Item } =>
    staged.returnsOld && staged.old !== undefined ? { Item: staged.old } : {};

const apply = (store: TableStore, staged: StagedWrite): void => {
    if (staged.next !== undefined) {
        store.set(staged.id, staged.next);
    }
};

/** Applies one write, or throws if its condition does not hold. */
export const writeItem = (store: TableStore, request: Put | Update): void => {
    const staged = stageWrite(store, request);
    if (staged.failed) {
        throw new ServiceFailure("ConditionalCheckFailedException", "The conditional request failed", oldItem(staged));
    }
    apply(store, staged);
};

/** Applies all writes of a transaction, or throws and applies none if a condition does not hold. */
export const writeTransaction = (store: TableStore, { TransactItems: items }: Transaction): void => {
    const staged = items.map(item => {
        if ("Put" in item) {
            return stageWrite(store, item.Put);
        }
        return stageWrite(store, "Update" in item ? item.Update : item.ConditionCheck);
    });
    if (new Set(staged.map(write => write.id)).size < staged.length) {
        throw validationFailure("Transaction request cannot include multiple operations on one item");
    }
    if (staged.some(write => write.failed)) {
        throw new ServiceFailure("TransactionCanceledException", "Transaction cancelled", {
            CancellationReasons: staged.map(write =>
                write.failed
                    ? { Code: "ConditionalCheckFailed", Message: "The conditional request failed", ...oldItem(write) }
                    : { Code: "None" },
            ),
        });
    }
    staged.forEach(write => apply(store, write));
};
