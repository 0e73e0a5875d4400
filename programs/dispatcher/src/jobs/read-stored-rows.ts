import type { Job } from "@almondusher/jobs/job";
import type { Progress } from "@almondusher/jobs/progress";
import { decodeJob, decodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../process/dispatcher-context.js";

type RowContent = Pick<Row, "key" | "value">;
type Reporting = Pick<DispatcherContext, "log" | "metrics">;

/** Decodes a stored job; undefined, with a log line, if the row is malformed. */
export const readStoredJob = (context: Reporting, row: RowContent): Job | undefined =>
    readRow(context, row, { kind: "job", decode: decodeJob });

/** Decodes the stored progress of a job; undefined, with a log line, if the row is malformed. */
export const readStoredProgress = (context: Reporting, row: RowContent): Progress | undefined =>
    readRow(context, row, { kind: "progress", decode: decodeProgress });

interface RowFormat<Content> {
    readonly kind: string;
    readonly decode: (text: string) => Content;
}

const readRow = <Content>(
    context: Reporting,
    { key, value }: RowContent,
    { kind, decode }: RowFormat<Content>,
): Content | undefined => {
    try {
        return decode(value);
    } catch (error) {
        context.metrics.count(`unreadable_${kind}_rows`);
        context.log("row-unreadable", { kind, key, reason: error instanceof Error ? error.message : String(error) });
        return undefined;
    }
};
