import { FleetError } from "@almondusher/fleet/fleet-error";
import { decodePending } from "@almondusher/platform-adapter/job-answers";
import { BaseCommand } from "../base-command.js";
import { formatTable } from "../format-table.js";
import { callQueue } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, type JobSettings, type NamedQueue } from "../job-settings.js";

interface ListedQueue {
    readonly queue: string;
    /** Accepted jobs that have not started; absent if no entry told. */
    readonly pending?: number;
    readonly error?: string;
}

/** Lists the queues with their accepted jobs that have not started. */
export class JobListCommand extends BaseCommand {
    static override summary = "List the queues and how many of their jobs wait to start";
    static override flags = { settings: jobSettingsFlag };

    async run(): Promise<{ queues: readonly ListedQueue[] }> {
        const { flags } = await this.parse(JobListCommand);
        const settings = loadJobSettings(flags.settings);
        const queues = await Promise.all(settings.queues.map(queue => readQueue(settings, queue)));
        this.log(
            formatTable(queues, [
                { title: "queue", text: row => row.queue },
                { title: "pending", text: row => (row.pending === undefined ? "-" : String(row.pending)) },
                { title: "error", text: row => row.error ?? "" },
            ]),
        );
        return { queues };
    }
}

const readQueue = async (settings: JobSettings, queue: NamedQueue): Promise<ListedQueue> => {
    try {
        const pending = decodePending(await callQueue({ settings, queue, method: "GET" }));
        return pending === undefined
            ? { queue: queue.name, error: "an entry answered without a number" }
            : { queue: queue.name, pending };
    } catch (error) {
        if (error instanceof FleetError) {
            return { queue: queue.name, error: error.message };
        }
        throw error;
    }
};
