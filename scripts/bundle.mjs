// Bundles the deployed programs into one file each: loading node_modules file by file triples the start-up time.
import { build } from "esbuild";

await build({
    entryPoints: { "almondusher-dispatcher": "programs/dispatcher/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    // ESM output fails to load bunyan.
    format: "cjs",
    minify: true,
    keepNames: true,
    conditions: ["source"],
    // Optional modules of bunyan, which does without them.
    external: ["dtrace-provider", "mv", "safe-json-stringify", "moment"],
    logLevel: "warning",
});
