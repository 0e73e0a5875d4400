import { Args } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { BaseCommand } from "../base-command.js";
import { explainJob, findJobEvents, type JobExplanation } from "../explain-job.js";
import { checkJobId } from "../job-client.js";
import { readInputFile } from "../read-input-file.js";

/** Explains what happened to a job from the logs of the dispatchers. */
export class JobExplainCommand extends BaseCommand {
    static override summary = "Explain what happened to a job from the logs of the dispatchers";
    static override strict = false;
    static override args = {
        job: Args.string({ required: true, description: "id of the job" }),
        logs: Args.string({ required: true, description: "one or more log files of the dispatchers" }),
    };

    async run(): Promise<JobExplanation> {
        const { argv } = await this.parse(JobExplainCommand);
        const [id, ...files] = argv as string[];
        const job = checkJobId(id ?? "");
        const explanation = explainJob(job, findJobEvents(files.flatMap(readLines), job));
        if (explanation.events.length === 0) {
            throw new FleetError("not-found", {
                message: `the log files contain no line about job ${job}`,
                hint: "give the logs of all dispatchers for the time in question",
            });
        }
        explanation.findings.forEach(line => this.log(line));
        return explanation;
    }
}

const readLines = (file: string): readonly string[] => readInputFile(file, "not-found").split("\n");
