import { FleetError } from "@almondusher/fleet/fleet-error";
import { decodePending } from "@almondusher/platform-adapter/job-responses";
import { BaseCommand } from "../base-command.js";
import { formatTable } from "../format-table.js";
import { callQueue } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, type JobSettings, type QueueSettings } from "../job-settings.js";

interface QueueListing {
    readonly queue: string;
    /** Number of accepted jobs that have not started; absent if it could not be read. */
    readonly pending?: number;
    readonly error?: string;
}

/** Lists the queues with the number of their accepted jobs that have not started. */
export class JobListCommand extends BaseCommand {
    static override summary = "List the queues and the number of their jobs that have not started";
    static override flags = { settings: jobSettingsFlag };

    async run(): Promise<{ queues: readonly QueueListing[] }> {
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

const readQueue = async (settings: JobSettings, queue: QueueSettings): Promise<QueueListing> => {
    try {
        const pending = decodePending(await callQueue({ settings, queue, method: "GET" }));
        return pending === undefined
            ? { queue: queue.name, error: "the response of an entry lacks the number of pending jobs" }
            : { queue: queue.name, pending };
    } catch (error) {
        if (error instanceof FleetError) {
            return { queue: queue.name, error: error.message };
        }
        throw error;
    }
};
