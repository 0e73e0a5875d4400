import { FleetError } from "@almondusher/fleet/fleet-error";
import type { Vm } from "@almondusher/fleet/vm";
import { callOperator } from "@almondusher/telemetry/operator-client";
import { z } from "zod";
import type { CliSettings } from "./cli-settings.js";

/** What one operator port answered, or why it did not. */
export type PortAnswer<Report> =
    | { readonly kind: "answered"; readonly url: string; readonly report: Report }
    | { readonly kind: "failed"; readonly url: string; readonly error: string };

/** The operator ports in the settings, and those of the entry VMs on the platform's list. */
export const findOperatorUrls = (settings: CliSettings, vms: readonly Vm[]): readonly string[] => {
    const { operatorPort, operatorUrls } = settings;
    const entries = operatorPort === undefined ? [] : vms.filter(vm => vm.role === "entry");
    const found = entries.map(vm => `http://${vm.address.replace(/:\d+$/, "")}:${operatorPort}`);
    return [...new Set([...operatorUrls, ...found])];
};

/** Asks all ports at once; a port that fails is reported and does not fail the others. */
export const askOperators = <Schema extends z.ZodType>(
    settings: CliSettings,
    urls: readonly string[],
    { path, schema }: { path: `/${string}`; schema: Schema },
): Promise<readonly PortAnswer<z.output<Schema>>[]> =>
    Promise.all(
        urls.map(async (url): Promise<PortAnswer<z.output<Schema>>> => {
            try {
                const answer = await callOperator({
                    url,
                    secret: settings.operatorSecret,
                    path,
                    timeoutMs: settings.operatorTimeoutMs,
                });
                return { kind: "answered", url, report: schema.parse(answer) };
            } catch (error) {
                return { kind: "failed", url, error: describe(error) };
            }
        }),
    );

/** The reports of the ports that answered. */
export const reportsOf = <Report>(answers: readonly PortAnswer<Report>[]): readonly Report[] =>
    answers.flatMap(answer => (answer.kind === "answered" ? [answer.report] : []));

/** One line for each port that did not answer. */
export const failuresOf = (answers: readonly PortAnswer<unknown>[]): readonly string[] =>
    answers.flatMap(answer => (answer.kind === "failed" ? [`${answer.url}: ${answer.error}`] : []));

const describe = (error: unknown): string => {
    if (error instanceof FleetError) {
        return error.message;
    }
    return error instanceof z.ZodError ? `malformed report: ${z.prettifyError(error)}` : String(error);
};
