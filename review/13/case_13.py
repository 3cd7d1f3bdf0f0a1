"""A wave takes two machines at once, and a step that allows one absent task loses two."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import platform_3 as p3

JOB = "00000000000000a1"
MAX_UNAVAILABLE = 1
COUNT = 3


async def case() -> int:
    """Return 1 if AVAIL was broken, else 0."""
    violations: list[str] = []
    stopped: set[str] = set()
    async with p3.Platform(Path(__file__).parent) as platform:

        def check_end(task: str, how: str) -> None:
            """Check the end of a task that a stop has ended, all of which were at work."""
            at_work = {t for w in platform.workers for t, r in w.running.items() if w.is_at_work(r)}
            stopped.difference_update(at_work)
            if how != "stopped":
                return
            others = sorted(stopped - {task})
            if len(others) >= MAX_UNAVAILABLE:
                violations.append(task)
                platform.record.add(f"AVAIL: a stop ends {task} while stops have ended {others}")
            stopped.add(task)

        def watch(worker: p3.Worker) -> None:
            worker.on_end = check_end

        platform.on_worker = watch
        for number in range(6):
            await platform.add_worker(f"w{number}", "ab"[number % 2], f"r1-{number // 2}")
        platform.configure(7, [p3.route("batch", priority=1)])
        platform.start_instance("i0", "a")
        platform.start_instance("i1", "b")
        phase = {
            "count": COUNT,
            "cpu": 1000,
            "mem_mb": 1000,
            "estimate_ms": 1000,
            "perpetual": True,
            "max_unavailable": MAX_UNAVAILABLE,
            "max_per_server": 1,
        }
        job = {"spec": json.dumps({"lasting": True}), "phases": [phase]}
        if not await platform.submit(f"/batch/{JOB}", job):
            return 2
        await asyncio.sleep(8)
        machines = [m for m, worker in platform.machines.workers.items() if worker.running]
        if len(machines) != COUNT:
            return 2
        wave = {
            "wave": 1,
            "machines": machines,
            "within_s": 20,
            "max_count": 2 if p3.has_trouble() else 1,
        }
        platform.store.put("op/wave/1", json.dumps(wave).encode())
        platform.record.add(f"the operator writes op/wave/1: {json.dumps(wave)}")
        until_s = time.monotonic() + 45
        while time.monotonic() < until_s:
            if b"completed" in platform.store.value("status/wave/1"):
                break
            await asyncio.sleep(0.2)
        platform.record.add(f"status/wave/1: {platform.store.value('status/wave/1').decode()}")
        platform.record.add(f"stops against the limit: {len(violations)}")
    return int(bool(violations))


p3.main(case)
