import { z } from "zod";
import type { AttributeValue } from "./attribute.js";
import { validationFailure } from "./service-failure.js";

const valueSchema: z.ZodType<AttributeValue> = z.lazy(() =>
    z.union([
        z.strictObject({ S: z.string() }),
        z.strictObject({ N: z.string().regex(/^-?\d+$/) }),
        z.strictObject({ BOOL: z.boolean() }),
        z.strictObject({ M: z.record(z.string(), valueSchema) }),
    ]),
);
const keySchema = z.strictObject({ id: z.strictObject({ S: z.string().min(1) }) });
const itemSchema = z.record(z.string(), valueSchema).and(z.object({ id: z.strictObject({ S: z.string().min(1) }) }));

const conditionFields = {
    TableName: z.string(),
    ConditionExpression: z.string().optional(),
    ExpressionAttributeNames: z.record(z.string(), z.string()).default({}),
    ExpressionAttributeValues: z.record(z.string(), valueSchema).default({}),
    ReturnValuesOnConditionCheckFailure: z.enum(["ALL_OLD", "NONE"]).default("NONE"),
};

const putSchema = z.strictObject({ ...conditionFields, Item: itemSchema });
const updateSchema = z.strictObject({ ...conditionFields, Key: keySchema, UpdateExpression: z.string() });
const checkSchema = z.strictObject({ ...conditionFields, Key: keySchema, ConditionExpression: z.string() });

/** Schemas of the table service's requests, limited to what the client uses. */
export const tableRequests = {
    GetItem: z.strictObject({ TableName: z.string(), Key: keySchema, ConsistentRead: z.literal(true) }),
    BatchGetItem: z.strictObject({
        RequestItems: z.record(
            z.string(),
            z.strictObject({ Keys: z.array(keySchema).min(1).max(100), ConsistentRead: z.literal(true) }),
        ),
    }),
    PutItem: putSchema,
    UpdateItem: updateSchema,
    TransactWriteItems: z.strictObject({
        TransactItems: z
            .array(
                z.union([
                    z.strictObject({ Put: putSchema }),
                    z.strictObject({ Update: updateSchema }),
                    z.strictObject({ ConditionCheck: checkSchema }),
                ]),
            )
            .min(1)
            .max(100),
        ClientRequestToken: z.string().optional(),
    }),
} as const;

export type Put = z.output<typeof putSchema>;
export type Update = z.output<typeof updateSchema>;
export type Check = z.output<typeof checkSchema>;
export type BatchGet = z.output<typeof tableRequests.BatchGetItem>;
export type Transaction = z.output<typeof tableRequests.TransactWriteItems>;

/** Parses the body of a request. Rejects fields and forms that the client does not use. */
export const parseTableRequest = <Schema extends z.ZodType>(schema: Schema, body: string): z.output<Schema> => {
    const parsed = schema.safeParse(JSON.parse(body));
    if (!parsed.success) {
        throw validationFailure(z.prettifyError(parsed.error));
    }
    return parsed.data;
};
