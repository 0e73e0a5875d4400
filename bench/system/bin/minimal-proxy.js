#!/usr/bin/env node
import { runMinimalProxy } from "../dist/minimal-proxy.js";

runMinimalProxy(process.argv.slice(2));
