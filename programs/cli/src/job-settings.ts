import { Flags } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { loadSettings } from "@almondusher/settings/load-settings";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 3000;
const MAX_TIMEOUT_MS = 60_000;

const queueSchema = z.strictObject({
    name: z.string().min(1),
    /** Host that clients of the queue name. */
    host: z.string().min(1),
    /** Path that the ids of the queue's jobs are appended to. */
    prefix: z.string().regex(/^\/(.*\/)?$/, "must begin and end with a slash"),
});

const schema = z.strictObject({
    /** Entries, tried in this order. */
    entries: z.array(z.url({ protocol: /^https?$/, error: "must be an http or https URL" })).min(1),
    queues: z.array(queueSchema).min(1),
    /** Longest time for one call, in milliseconds. */
    timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
});

/** Settings of the commands for jobs. */
export type JobSettings = z.output<typeof schema>;

/** A queue as the settings name it. */
export type NamedQueue = z.output<typeof queueSchema>;

/** Flag for the commands that talk to entries about jobs. */
export const jobSettingsFlag = Flags.string({
    description: "settings file with the entries and the queues",
    env: "ALMONDUSHER_JOB_SETTINGS",
    required: true,
});

/** Reads the settings; throws `invalid-settings`. */
export const loadJobSettings = (file: string): JobSettings => loadSettings({ file, schema });

/** The queue with a name; throws `not-found`. */
export const queueNamed = ({ queues }: JobSettings, name: string): NamedQueue => {
    const queue = queues.find(candidate => candidate.name === name);
    if (queue === undefined) {
        throw new FleetError("not-found", {
            message: `the settings name no queue ${name}`,
            hint: `one of ${queues.map(known => known.name).join(", ")}`,
        });
    }
    return queue;
};
