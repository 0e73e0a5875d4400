import { Args } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { z } from "zod";
import { BaseCommand } from "../base-command.js";
import { callQueue, checkJobId } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, queueNamed } from "../job-settings.js";

const answerSchema = z.object({ state: z.enum(["queued", "running", "completed", "failed", "cancelled"]) });

interface ShownJob extends z.output<typeof answerSchema> {
    readonly job: string;
    readonly queue: string;
}

/** Shows the state of a job. */
export class JobShowCommand extends BaseCommand {
    static override summary = "Show the state of a job";
    static override args = {
        queue: Args.string({ required: true, description: "name of the queue in the settings" }),
        job: Args.string({ required: true, description: "id of the job" }),
    };
    static override flags = { settings: jobSettingsFlag };

    async run(): Promise<ShownJob> {
        const { args, flags } = await this.parse(JobShowCommand);
        const settings = loadJobSettings(flags.settings);
        const queue = queueNamed(settings, args.queue);
        const job = checkJobId(args.job);
        const answer = answerSchema.safeParse(await callQueue({ settings, queue, method: "GET", job }));
        if (!answer.success) {
            throw new FleetError("bad-message", {
                message: `an entry answered for job ${job} without a known state`,
                hint: "the entry may be of another version",
            });
        }
        this.log(`${job} ${answer.data.state}`);
        return { job, queue: queue.name, state: answer.data.state };
    }
}
