import { Args } from "@oclif/core";
import { BaseCommand } from "../base-command.js";
import { callQueue, checkJobId } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, findQueue } from "../job-settings.js";

/** Cancels a job; its running tasks are stopped asynchronously. */
export class JobCancelCommand extends BaseCommand {
    static override summary = "Cancel a job";
    static override args = {
        queue: Args.string({ required: true, description: "name of the queue in the settings" }),
        job: Args.string({ required: true, description: "id of the job" }),
    };
    static override flags = { settings: jobSettingsFlag };

    async run(): Promise<{ job: string; queue: string }> {
        const { args, flags } = await this.parse(JobCancelCommand);
        const settings = loadJobSettings(flags.settings);
        const queue = findQueue(settings, args.queue);
        const job = checkJobId(args.job);
        await callQueue({ settings, queue, method: "DELETE", job });
        this.log(`cancelled ${job}`);
        return { job, queue: queue.name };
    }
}
