// Bundles each deployed program into one file: loading modules from node_modules one by one triples the start-up time.
import { build } from "esbuild";

await build({
    entryPoints: { "almondusher-dispatcher": "programs/dispatcher/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    // bunyan cannot be loaded from an ESM bundle.
    format: "cjs",
    // Identifiers stay as they are, so that errors and stack traces show the names of the sources. The option keepNames
    // would define the name of each function again whenever it is created.
    minifySyntax: true,
    minifyWhitespace: true,
    conditions: ["source"],
    // Optional dependencies of bunyan, which works without them.
    external: ["dtrace-provider", "mv", "safe-json-stringify", "moment"],
    logLevel: "warning",
});
