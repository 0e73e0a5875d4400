import { randomBytes } from "node:crypto";
import { Args, Flags } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { parseJson } from "@almondusher/jobs/json-text";
import { BaseCommand } from "../base-command.js";
import { callQueue, checkJobId } from "../job-client.js";
import { jobSettingsFlag, loadJobSettings, findQueue } from "../job-settings.js";
import { readInputFile } from "../read-input-file.js";

const JOB_ID_BYTES = 8;

/** Submits a job; when the command succeeds, the job is stored. */
export class JobSubmitCommand extends BaseCommand {
    static override summary = "Submit a job to a queue";
    static override args = {
        queue: Args.string({ required: true, description: "name of the queue in the settings" }),
        file: Args.string({
            required: true,
            description: "file with the job as JSON, in the format that clients send",
        }),
    };
    static override flags = {
        settings: jobSettingsFlag,
        id: Flags.string({ description: "id of the job; give it to repeat a submission with an unknown outcome" }),
    };

    async run(): Promise<{ job: string; queue: string }> {
        const { args, flags } = await this.parse(JobSubmitCommand);
        const settings = loadJobSettings(flags.settings);
        const queue = findQueue(settings, args.queue);
        const job = checkJobId(flags.id ?? randomBytes(JOB_ID_BYTES).toString("hex"));
        const body = readJobFile(args.file);
        // Printed before the call, so that a submission with an unknown outcome can be repeated with the same id.
        this.log(`job ${job}`);
        await callQueue({ settings, queue, method: "POST", job, body });
        this.log(`accepted by queue ${queue.name}`);
        return { job, queue: queue.name };
    }
}

const readJobFile = (file: string): string => {
    const text = readInputFile(file, "invalid-job");
    if (parseJson(text) === undefined) {
        throw new FleetError("invalid-job", {
            message: `${file} is not JSON`,
            hint: "the file must hold one job as JSON",
        });
    }
    return text;
};
