import { Args } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { BaseCommand } from "../base-command.js";
import { explainJob, findJobEvents, type JobExplanation } from "../explain-job.js";
import { checkJobId } from "../job-client.js";
import { readInputFile } from "../read-input-file.js";

/** Explains from the logs of the dispatchers what happened to a job. */
export class JobExplainCommand extends BaseCommand {
    static override summary = "Explain from logs what happened to a job";
    static override strict = false;
    static override args = {
        job: Args.string({ required: true, description: "id of the job" }),
        logs: Args.string({ required: true, description: "files with the logs of the dispatchers, one or more" }),
    };

    async run(): Promise<JobExplanation> {
        const { argv } = await this.parse(JobExplainCommand);
        const [id, ...files] = argv as string[];
        const job = checkJobId(id ?? "");
        const explanation = explainJob(job, findJobEvents(files.flatMap(readLines), job));
        if (explanation.events.length === 0) {
            throw new FleetError("not-found", {
                message: `no line of the logs is about job ${job}`,
                hint: "give the logs of all dispatchers of the time in question",
            });
        }
        explanation.findings.forEach(line => this.log(line));
        return explanation;
    }
}

const readLines = (file: string): readonly string[] => readInputFile(file, "not-found").split("\n");
