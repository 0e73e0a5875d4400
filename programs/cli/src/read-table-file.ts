import { readFileSync } from "node:fs";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { parseTableFile, type TableFile } from "@almondusher/fleet/table-file";

/** Reads the two tables from a file; throws `invalid-table`. */
export const readTableFile = (file: string): TableFile => parseTableFile(file, readText(file));

const readText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    } catch (error) {
        throw new FleetError("invalid-table", {
            message: `${file} cannot be read: ${error instanceof Error ? error.message : String(error)}`,
            hint: "check the path and its permissions",
        });
    }
};
