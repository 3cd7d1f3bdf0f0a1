"""Entry daemon in its own process, with a fleet view read from a file.

Usage: `python -m foxtailwell_bench.entry_process SETTINGS VIEW`. The file replaces the fleet
tasks and is read again when it changes, so that a test or benchmark controls exactly what the entry
knows.
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
    """Content of the view file: the configuration and the listed instances."""

    configuration: Configuration
    instances: list[InstanceRecord]


async def _poll_view_file(view: FleetView, path: Path) -> None:
    last_modified_ns = 0
    while True:
        modified_ns = path.stat().st_mtime_ns
        if modified_ns != last_modified_ns:
            last_modified_ns = modified_ns
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

    async def run_until_stopped(*, task_status: TaskStatus[EntryPorts]) -> None:
        await run_entry(settings, view=view, task_status=task_status)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(_poll_view_file, view, Path(view_path))
        ports = await group.start(run_until_stopped)
        print(f"{ports.callers} {ports.operators}", flush=True)


if __name__ == "__main__":
    anyio.run(_main, *sys.argv[1:], backend_options={"use_uvloop": True})
