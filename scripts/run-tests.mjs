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

const run = (concurrency, selected) =>
    spawnSync(
        process.execPath,
        ["--conditions=source", "--import", "tsx", "--test", `--test-concurrency=${concurrency}`, ...selected],
        { stdio: "inherit" },
    ).status ?? 1;

// Files that measure a process under load run after all others, one at a time.
const isAlone = file => file.endsWith(".alone.test.ts");
const phases = [
    { name: "side by side", concurrency: CONCURRENT_FILES, selected: files.filter(file => !isAlone(file)) },
    { name: "one at a time", concurrency: 1, selected: files.filter(isAlone) },
];
const statuses = phases
    // Without a file node would search for tests itself; a word that selects none fails.
    .filter(({ selected }) => selected.length > 0)
    .map(({ name, concurrency, selected }) => {
        console.log(`# test files ${name}: ${selected.length}`);
        return run(concurrency, selected);
    });
process.exitCode = statuses.length === 0 ? 1 : Math.max(...statuses);
