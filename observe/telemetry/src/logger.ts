import bunyan from "bunyan";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import { type LogEvent, logLevels } from "./log-event.js";

/** Where events go. */
export interface Logger {
    readonly bunyan: bunyan;
    readonly secrets: readonly string[];
}

export interface LoggerOptions {
    readonly program: string;
    readonly processId: ProcessId;
    readonly vm: VmId;
    /** Lowest level that is written. */
    readonly level: Extract<bunyan.LogLevel, string>;
    /** Standard output if absent. */
    readonly stream?: NodeJS.WritableStream;
    /** Texts that are replaced wherever they occur in an event. */
    readonly secrets?: readonly string[];
}

const REDACTED = "[redacted]";

/** Creates a logger that writes one JSON object a line. */
export const createLogger = (options: LoggerOptions): Logger => ({
    bunyan: bunyan.createLogger({
        name: options.program,
        level: options.level,
        stream: options.stream ?? process.stdout,
        processId: options.processId,
        vm: options.vm,
    }),
    secrets: (options.secrets ?? []).filter(secret => secret !== ""),
});

/** Logs a change of state at the level of its kind. */
export const logEvent = (logger: Logger, event: LogEvent): void => {
    const { kind, ...fields } = event;
    logger.bunyan[logLevels[kind]]({ event: kind, ...redact(fields, logger.secrets) }, kind);
};

const redact = (fields: object, secrets: readonly string[]): object => {
    const redactText = (text: string): string =>
        secrets.reduce((rest, secret) => rest.replaceAll(secret, REDACTED), text);
    const text = JSON.stringify(fields, (unusedKey, value: unknown) =>
        typeof value === "string" ? redactText(value) : value,
    );
    return JSON.parse(text) as object;
};
