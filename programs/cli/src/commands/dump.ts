import { Args, Flags } from "@oclif/core";
import { loadSecret } from "@almondusher/settings/load-settings";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { callOperator } from "@almondusher/telemetry/operator-client";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { loadCliSettings } from "../cli-settings.js";

/** Prints the state dump or the metrics of one process. */
export class DumpCommand extends BaseCommand {
    static override summary = "Print the state of a process as JSON";
    static override args = {
        entry: Args.string({
            required: true,
            description: "URL of the operator port of the process, for example http://10.0.0.7:9100",
        }),
    };
    static override flags = {
        settings: settingsFlag,
        "secret-file": Flags.string({
            description: "file with the operator secret; the file in the settings if absent",
        }),
        metrics: Flags.boolean({
            description: "print the counters and latencies instead of the state",
            default: false,
        }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(DumpCommand);
        const settings = loadCliSettings(flags.settings);
        const secretFile = flags["secret-file"];
        const dump = await callOperator({
            url: checkUrl(args.entry),
            secret: secretFile === undefined ? settings.operatorSecret : loadSecret("./", secretFile),
            path: flags.metrics ? "/metrics" : "/dump",
            timeoutMs: settings.operatorTimeoutMs,
        });
        this.log(JSON.stringify(dump, undefined, 4));
        return dump;
    }
}

const checkUrl = (text: string): string => {
    if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
        throw new FleetError("not-found", {
            message: `${text} is not an http or https URL`,
            hint: "give the URL of an operator port, for example http://10.0.0.7:9100",
        });
    }
    return text;
};
