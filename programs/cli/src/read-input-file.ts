import { readFileSync } from "node:fs";
import { FleetError, type FleetErrorCode } from "@almondusher/fleet/fleet-error";

/** Reads a file given on the command line; throws an error with the given code if it cannot be read. */
export const readInputFile = (file: string, code: FleetErrorCode): string => {
    try {
        return readFileSync(file, "utf8");
    } catch (error) {
        throw new FleetError(code, {
            message: `${file} cannot be read: ${error instanceof Error ? error.message : String(error)}`,
            hint: "check the path and its permissions",
        });
    }
};
