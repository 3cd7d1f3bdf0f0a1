"""Command line of the benchmarks: prints their measures as JSON lines.

Usage: `python -m foxtailwell_bench [MODULE...]`.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.util import find_spec
from json import dumps

MODULES = ("policy", "requests", "processes", "large_jobs")


def main() -> None:
    """Run the benchmark modules named on the command line, or all of `MODULES`."""
    for name in sys.argv[1:] or MODULES:
        module = f"foxtailwell_bench.{name}"
        if find_spec(module) is None:
            sys.stderr.write(f"{module} is not part of this release, skipped\n")
            continue
        for row in import_module(module).run():
            sys.stdout.write(dumps(row) + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
