#!/usr/bin/env node
import { execute, settings } from "@oclif/core";

// Only compiled code runs, whatever NODE_ENV says.
settings.enableAutoTranspile = false;
await execute({ dir: import.meta.url });
