import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { poolSchema } from "@almondusher/fleet/pool";
import { routeSchema } from "@almondusher/fleet/route";
import { causes } from "@almondusher/fleet/verdict";
import { commands } from "../src/commands.js";

const readPage = (name: string): string => readFileSync(new URL(`../../../docs/${name}`, import.meta.url), "utf8");

const isNamed = (page: string, name: string): boolean => page.includes(`\`${name}\``);

test("docs/operators.md mentions every cause and every command", () => {
    const page = readPage("operators.md");
    assert.deepEqual(
        causes.filter(cause => !isNamed(page, cause)),
        [],
    );
    assert.deepEqual(
        Object.keys(commands)
            .map(name => name.replace(":", " "))
            .filter(name => !page.includes(`\`${name}`)),
        [],
    );
});

test("docs/tables.md mentions every column of routes and pools", () => {
    const page = readPage("tables.md");
    const columns = [...Object.keys(routeSchema.shape), ...Object.keys(poolSchema.shape)];
    assert.deepEqual(
        columns.filter(column => !isNamed(page, column)),
        [],
    );
});
