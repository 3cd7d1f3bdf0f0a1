"""Entry daemon in its own process, with a view filled from a file instead of the fleet tasks.

Usage: `python -m foxtailwell_bench.entry_process SETTINGS VIEW`. The view is read again when the
file changes, so a test or a measure controls exactly what the entry knows.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskStatus

from foxtailwell.adapters.settings import Settings
from foxtailwell.core import Configuration, Evidence, InstanceRecord
from foxtailwell.entry import EntryPorts, run_entry
from foxtailwell.fleet import FleetView

__all__ = ["ViewFile"]


class ViewFile(msgspec.Struct):
    """Content of the view file."""

    configuration: Configuration
    instances: list[InstanceRecord]


async def _fill(view: FleetView, path: Path) -> None:
    changed_ns = 0
    while True:
        now_ns = path.stat().st_mtime_ns
        if now_ns != changed_ns:
            changed_ns = now_ns
            content = msgspec.json.decode(path.read_bytes(), type=ViewFile)
            view.configuration = content.configuration
            view.instances = {r.id: r for r in content.instances}
            view.notify()
        view.evidence = Evidence(view.configuration.revision, time.monotonic())
        await anyio.sleep(0.05)


async def _main(*paths: str) -> None:
    settings_path, view_path = paths
    settings = msgspec.json.decode(Path(settings_path).read_bytes(), type=Settings)
    view = FleetView()

    async def run(*, task_status: TaskStatus[EntryPorts]) -> None:
        await run_entry(settings, view=view, task_status=task_status)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(_fill, view, Path(view_path))
        ports = await group.start(run)
        print(f"{ports.callers} {ports.operators}", flush=True)


if __name__ == "__main__":
    anyio.run(_main, *sys.argv[1:], backend_options={"use_uvloop": True})
