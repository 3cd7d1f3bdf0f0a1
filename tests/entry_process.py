"""Entry daemon in its own process, with a view filled from a file instead of the fleet tasks.

Usage: python entry_process.py SETTINGS VIEW. The view is read again when the file changes.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import anyio
import msgspec

from foxtailwell.adapters.settings import Settings
from foxtailwell.core import Configuration, Evidence, InstanceRecord
from foxtailwell.entry import EntryPorts, run_entry
from foxtailwell.fleet import FleetView


class ViewFile(msgspec.Struct):
    """Content of the view file."""

    configuration: Configuration
    instances: list[InstanceRecord]


async def _fill(view: FleetView, path: str) -> None:
    changed_ns = 0
    while True:
        now_ns = os.stat(path).st_mtime_ns
        if now_ns != changed_ns:
            changed_ns = now_ns
            content = msgspec.json.decode(Path(path).read_bytes(), type=ViewFile)
            view.configuration = content.configuration
            view.instances = {r.id: r for r in content.instances}
            view.notify()
        view.evidence = Evidence(view.configuration.revision, time.monotonic())
        await anyio.sleep(0.05)


async def _main(settings_path: str, view_path: str) -> None:
    settings = msgspec.json.decode(Path(settings_path).read_bytes(), type=Settings)
    view = FleetView()

    async def run(*, task_status: anyio.abc.TaskStatus[EntryPorts]) -> None:
        await run_entry(settings, view=view, task_status=task_status)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(_fill, view, view_path)
        ports = await group.start(run)
        print(f"{ports.callers} {ports.operators}", flush=True)


if __name__ == "__main__":
    anyio.run(_main, *sys.argv[1:], backend_options={"use_uvloop": True})
