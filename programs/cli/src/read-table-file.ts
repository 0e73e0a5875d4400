import { parseTableFile, type TableFile } from "@almondusher/fleet/table-file";
import { readInputFile } from "./read-input-file.js";

/** Reads routes and pools from a file; throws `invalid-table`. */
export const readTableFile = (file: string): TableFile => parseTableFile(file, readInputFile(file, "invalid-table"));
