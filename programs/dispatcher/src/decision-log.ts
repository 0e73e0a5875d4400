import bunyan from "bunyan";
import type { BoundedOutput } from "./bounded-output.js";

/** Writes one structured line for a decision or a change of state. */
export type DecisionLog = (event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Options of a log. */
export interface DecisionLogOptions {
    readonly vm: string;
    readonly process: string;
    readonly output: BoundedOutput;
}

/** Creates the log of a process; one JSON object a line. */
export const createDecisionLog = ({ vm, process, output }: DecisionLogOptions): DecisionLog => {
    const logger = bunyan.createLogger({
        name: "almondusher-dispatcher",
        vm,
        process,
        streams: [{ stream: { write: output.write } as unknown as NodeJS.WritableStream }],
    });
    return (event, fields = {}) => logger.info({ event, ...fields }, event);
};
