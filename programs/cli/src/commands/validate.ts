import { Args } from "@oclif/core";
import { emptyFleetState, fleetState } from "@almondusher/fleet/fleet-state";
import { checkFleet } from "@almondusher/fleet/validation";
import { BaseCommand } from "../base-command.js";
import { readTableFile } from "../read-table-file.js";

/** Validates a table file without access to the platform. */
export class ValidateCommand extends BaseCommand {
    static override summary = "Check the routes and pools in a file against all rules";
    static override args = { file: Args.string({ required: true, description: "file with the tables, JSON" }) };

    async run(): Promise<{ routes: number; pools: number; vms: number }> {
        const { args } = await this.parse(ValidateCommand);
        const tables = readTableFile(args.file);
        checkFleet(fleetState(emptyFleetState.revision, { ...tables, assignments: [] }));
        const vms = tables.pools.reduce((count, pool) => count + pool.vms.length, 0);
        const result = { routes: tables.routes.length, pools: tables.pools.length, vms };
        this.log(`${args.file} is valid: ${result.routes} routes, ${result.pools} pools, ${vms} VMs`);
        return result;
    }
}
