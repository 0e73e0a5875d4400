import { FleetError } from "@almondusher/fleet/fleet-error";
import type { Vm } from "@almondusher/fleet/vm";
import { callOperator } from "@almondusher/telemetry/operator-client";
import { z } from "zod";
import type { CliSettings } from "./cli-settings.js";

/** The report of one operator port, or why it could not be read. */
export type OperatorResult<Report> =
    | { readonly kind: "answered"; readonly url: string; readonly report: Report }
    | { readonly kind: "failed"; readonly url: string; readonly error: string };

/** URLs of the operator ports in the settings and, if `operatorPort` is set, of the entry VMs in the platform's list. */
export const findOperatorUrls = (settings: CliSettings, vms: readonly Vm[]): readonly string[] => {
    const { operatorPort, operatorUrls } = settings;
    const entries = operatorPort === undefined ? [] : vms.filter(vm => vm.role === "entry");
    const found = entries.map(vm => `http://${vm.address.replace(/:\d+$/, "")}:${operatorPort}`);
    return [...new Set([...operatorUrls, ...found])];
};

/** Reads a report from all operator ports in parallel; a failed call returns a `failed` result and does not throw. */
export const fetchOperatorReports = <Schema extends z.ZodType>(
    settings: CliSettings,
    urls: readonly string[],
    { path, schema }: { path: `/${string}`; schema: Schema },
): Promise<readonly OperatorResult<z.output<Schema>>[]> =>
    Promise.all(
        urls.map(async (url): Promise<OperatorResult<z.output<Schema>>> => {
            try {
                const payload = await callOperator({
                    url,
                    secret: settings.operatorSecret,
                    path,
                    timeoutMs: settings.operatorTimeoutMs,
                });
                return { kind: "answered", url, report: schema.parse(payload) };
            } catch (error) {
                return { kind: "failed", url, error: describeError(error) };
            }
        }),
    );

export const successfulReports = <Report>(results: readonly OperatorResult<Report>[]): readonly Report[] =>
    results.flatMap(result => (result.kind === "answered" ? [result.report] : []));

/** One line for each operator port whose report could not be read. */
export const describeFailures = (results: readonly OperatorResult<unknown>[]): readonly string[] =>
    results.flatMap(result => (result.kind === "failed" ? [`${result.url}: ${result.error}`] : []));

const describeError = (error: unknown): string => {
    if (error instanceof FleetError) {
        return error.message;
    }
    return error instanceof z.ZodError ? `malformed report: ${z.prettifyError(error)}` : String(error);
};
