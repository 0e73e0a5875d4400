import { readFileSync } from "node:fs";
import { FleetError, type FleetErrorCode } from "@almondusher/fleet/fleet-error";

/** Text of a file that the caller named; throws an error with the given code. */
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
