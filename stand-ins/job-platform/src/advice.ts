import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { reply, startJsonServer } from "./json-server.js";
import { stepOf } from "./task-name.js";

/** Simulated advice service, which allows every executor to run every step. */
export interface AdviceStandIn {
    readonly address: string;
    /** Number of answered calls. */
    readonly calls: () => number;
    /** Ticket that a start of the task on the executor must carry. */
    readonly ticketOf: (task: string, executor: string) => string;
    readonly close: () => Promise<void>;
}

/** Timing of the service, as the queue of the configuration states it. */
export interface AdviceTimes {
    readonly decide_ms: number;
    readonly each_ms: number;
    readonly valid_ms: number;
}

const adviseSchema = z.object({ step: z.string(), workers: z.array(z.string()) });

const ticketOfStep = (step: string, executor: string): string => `${step}/${executor}`;

/** Starts an advice service. */
export const startAdviceStandIn = async (times: AdviceTimes): Promise<AdviceStandIn> => {
    let calls = 0;
    const server = await startJsonServer(async ({ body }) => {
        const { step, workers } = adviseSchema.parse(body);
        await sleep(times.decide_ms + times.each_ms * workers.length);
        calls++;
        return reply(200, {
            good: workers.map(id => [id, ticketOfStep(step, id)]),
            valid_ms: times.valid_ms,
        });
    });
    return {
        address: server.address,
        calls: () => calls,
        ticketOf: (task, executor) => ticketOfStep(stepOf(task), executor),
        close: server.close,
    };
};
