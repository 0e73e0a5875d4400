// Fails if the committed code differs from the code generated from the .proto files.
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const committed = "peers/peer/src/gen";
const scratch = mkdtempSync(join(tmpdir(), "almondusher-gen-"));
try {
    execFileSync("npx", ["--no-install", "buf", "generate", "-o", scratch], { stdio: "inherit" });
    execFileSync("diff", ["-r", committed, join(scratch, committed)], { stdio: "inherit" });
    console.log("generated code is up to date");
} catch {
    console.error(`generated code in ${committed} is out of date; run: npm run generate`);
    process.exitCode = 1;
} finally {
    rmSync(scratch, { recursive: true, force: true });
}
