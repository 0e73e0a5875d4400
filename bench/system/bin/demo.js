#!/usr/bin/env node
import { runDemo } from "../dist/demo.js";

await runDemo();
