import bunyan from "bunyan";
import type { BoundedOutput } from "./bounded-output.js";

/** Logs a decision or a change of state as one structured line. */
export type DecisionLog = (event: string, fields?: Readonly<Record<string, unknown>>) => void;

export interface DecisionLogOptions {
    readonly vm: string;
    readonly process: string;
    readonly output: BoundedOutput;
}

/** Creates the log of a process, with one JSON object per line. */
export const createDecisionLog = ({ vm, process, output }: DecisionLogOptions): DecisionLog => {
    const logger = bunyan.createLogger({
        name: "almondusher-dispatcher",
        vm,
        process,
        streams: [{ stream: { write: output.write } as unknown as NodeJS.WritableStream }],
    });
    return (event, fields = {}) => logger.info({ event, ...fields }, event);
};
