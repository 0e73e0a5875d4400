import { Args } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { JobState } from "@almondusher/jobs/job";
import { decodeJobState } from "@almondusher/platform-adapter/job-responses";
import { BaseCommand } from "../base-command.js";
import { callQueue, checkJobId } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, findQueue } from "../job-settings.js";

interface JobShowResult {
    readonly job: string;
    readonly queue: string;
    readonly state: JobState;
}

/** Shows the state of a job. */
export class JobShowCommand extends BaseCommand {
    static override summary = "Show the state of a job";
    static override args = {
        queue: Args.string({ required: true, description: "name of the queue in the settings" }),
        job: Args.string({ required: true, description: "id of the job" }),
    };
    static override flags = { settings: jobSettingsFlag };

    async run(): Promise<JobShowResult> {
        const { args, flags } = await this.parse(JobShowCommand);
        const settings = loadJobSettings(flags.settings);
        const queue = findQueue(settings, args.queue);
        const job = checkJobId(args.job);
        const state = decodeJobState(await callQueue({ settings, queue, method: "GET", job }));
        if (state === undefined) {
            throw new FleetError("bad-message", {
                message: `the response of an entry for job ${job} contains no known state`,
                hint: "the entry may run another version; check that it matches the version of this command",
            });
        }
        this.log(`${job} ${state}`);
        return { job, queue: queue.name, state };
    }
}
