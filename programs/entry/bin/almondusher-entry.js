#!/usr/bin/env node
import { execute } from "@oclif/core";

// The lock file fixes a release of the SDK that supports Node 20, so its notice about later releases does not apply.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED ??= "true";

await execute({ dir: import.meta.url });
