import bunyan from "bunyan";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import { type LogEvent, logLevels } from "./log-event.js";

/** A bunyan logger and the secrets to redact. */
export interface Logger {
    readonly bunyan: bunyan;
    readonly secrets: readonly string[];
}

export interface LoggerOptions {
    readonly program: string;
    readonly processId: ProcessId;
    readonly vm: VmId;
    /** Events below this level are not written. */
    readonly level: Extract<bunyan.LogLevel, string>;
    /** Destination; standard output by default. */
    readonly stream?: NodeJS.WritableStream;
    /** Texts that are redacted wherever they occur in an event. */
    readonly secrets?: readonly string[];
}

const REDACTED = "[redacted]";

/** Creates a logger that writes one JSON object per line. */
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

/** Logs an event at its level. */
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
