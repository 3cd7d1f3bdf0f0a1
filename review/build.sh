#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import sys
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("stand-ins compile with Python", sys.version.split()[0])
EOF
