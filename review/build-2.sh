#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file. Their stand-ins are plain
# Node.js scripts of this folder without dependencies, so nothing is compiled: each one is only checked for its syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-2/harness 6/case 7/case 8/case 9/case 10/case; do
    node --input-type=module --check <"$file"
done
echo "review: the stand-ins of cases 6 to 10 need no build"
