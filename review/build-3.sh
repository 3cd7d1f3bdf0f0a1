#!/usr/bin/env bash
# Checks that the stand-ins and the cases of the third review can be started, after the build of the
# deploy file. They use the standard library only, and there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_3/*.py 1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -d ../target/deps
