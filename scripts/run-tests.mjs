// Runs the test files of all workspaces with node:test; arguments select files whose path contains any of them.
import { spawnSync } from "node:child_process";
import { readFileSync, readdirSync, existsSync } from "node:fs";
import { join } from "node:path";

// Limits concurrency: with more test files at once, tests miss their time limits on small machines.
const CONCURRENT_FILES = 4;

const { workspaces } = JSON.parse(readFileSync("package.json", "utf8"));
const filters = process.argv.slice(2);
const files = workspaces
    .map(workspace => join(workspace, "test"))
    .filter(directory => existsSync(directory))
    .flatMap(directory => readdirSync(directory).map(name => join(directory, name)))
    .filter(file => file.endsWith(".test.ts"))
    .filter(file => filters.length === 0 || filters.some(filter => file.includes(filter)))
    .sort();

const result = spawnSync(
    process.execPath,
    ["--conditions=source", "--import", "tsx", "--test", `--test-concurrency=${CONCURRENT_FILES}`, ...files],
    { stdio: "inherit" },
);
process.exitCode = result.status ?? 1;
