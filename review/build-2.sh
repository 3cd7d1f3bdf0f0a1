#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They need Python 3.11 and its standard library only, so that
# there is nothing to build; the scripts start no other stand-in.
set -eu
cd "$(dirname "$0")"
for file in parts-2/standins.py {6,7,8,9,10}/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio; asyncio.timeout'
