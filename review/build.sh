#!/usr/bin/env bash
# The stand-ins `store`, `executor` and `deployment` and the cases are plain modules of Node.js 20 without packages. There is
# nothing to build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
node --input-type=module --eval 'await import("./deployment");'
