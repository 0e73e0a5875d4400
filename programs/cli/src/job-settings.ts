import { Flags } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { loadSettings } from "@almondusher/settings/load-settings";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 3000;
const MAX_TIMEOUT_MS = 60_000;

const queueSchema = z.strictObject({
    name: z.string().min(1),
    /** Host header of calls for the queue. */
    host: z.string().min(1),
    /** Path prefix; a job's path is the prefix followed by the job id. */
    prefix: z.string().regex(/^\/(.*\/)?$/, "must begin and end with a slash"),
});

const jobSettingsSchema = z.strictObject({
    /** URLs of the entries, tried in this order. */
    entries: z.array(z.url({ protocol: /^https?$/, error: "must be an http or https URL" })).min(1),
    queues: z.array(queueSchema).min(1),
    /** Timeout of one call. */
    timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
});

/** Validated settings file of the job commands, with the defaults filled in. */
export type JobSettings = z.output<typeof jobSettingsSchema>;

/** Name of a queue on the command line, with the host and the path prefix at which the entries serve it. */
export type QueueSettings = z.output<typeof queueSchema>;

/** The --settings flag of the job commands, which call the entries. */
export const jobSettingsFlag = Flags.string({
    description: "settings file with the entries and the queues",
    env: "ALMONDUSHER_JOB_SETTINGS",
    required: true,
});

/** Loads the settings file; throws `invalid-settings`. */
export const loadJobSettings = (file: string): JobSettings => loadSettings({ file, schema: jobSettingsSchema });

/** Finds a queue by name; throws `not-found`. */
export const findQueue = ({ queues }: JobSettings, name: string): QueueSettings => {
    const queue = queues.find(candidate => candidate.name === name);
    if (queue === undefined) {
        throw new FleetError("not-found", {
            message: `the settings contain no queue ${name}`,
            hint: `configured queues: ${queues.map(known => known.name).join(", ")}`,
        });
    }
    return queue;
};
