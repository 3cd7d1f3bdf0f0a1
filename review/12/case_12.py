"""Tasks that serve and tasks that fill keep each other from all workers for ever."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import platform_3 as p3

WORKERS = 4
LIMIT_S = 24.0
"""Longer than `finish_s` (14) and the 6 s and 3 s of the rule together."""


def lasting_phase(**fields: object) -> dict[str, object]:
    """Return a step of tasks that last, one on a worker at most."""
    common = {"mem_mb": 4000, "estimate_ms": 1000, "perpetual": True, "max_per_server": 1}
    return common | fields


FILLING = lasting_phase(count=WORKERS, cpu=1000, image="filler", fills=True)
SERVING = {"cpu": 2000, "image": "web", "target_ms": 500}


async def wait_for_run(platform: p3.Platform, job: str, what: str) -> bool:
    """Return whether a task of a job runs within the limit, and record how full the workers are."""
    until_s = time.monotonic() + LIMIT_S
    while time.monotonic() < until_s:
        if any(task.startswith(job) for w in platform.workers for task in w.running):
            return True
        await asyncio.sleep(0.1)
    running = {w.id: sorted(w.running) for w in platform.workers}
    platform.record.add(f"LOST: {what} {job} has not begun for {LIMIT_S:.0f} s; running: {running}")
    return False


async def finish(platform: p3.Platform, path: str) -> None:
    """Cancel a job and wait until nothing runs."""
    await platform.request("DELETE", path)
    for _ in range(50):
        if not any(w.running for w in platform.workers):
            return
        await asyncio.sleep(0.1)


async def case() -> int:
    """Return 1 if LOST was broken, else 0."""
    has_trouble = p3.has_trouble()
    results = []
    async with p3.Platform(Path(__file__).parent) as platform:
        for number in range(WORKERS):
            await platform.add_worker(f"w{number}", "ab"[number % 2], f"r1-{number // 2}")
        platform.configure(7, [p3.route("urgent", priority=0), p3.route("batch", priority=2)])
        platform.start_instance("i0", "a")
        platform.start_instance("i1", "b")

        platform.record.add("first part: tasks that fill are everywhere, then a service is started")
        first, second = "00000000000000a1", "00000000000000a2"
        filling = {"spec": json.dumps({"lasting": True}), "phases": [FILLING]}
        serving = {
            "spec": json.dumps({"lasting": True}),
            "phases": [lasting_phase(count=1, **SERVING)],
        }
        if has_trouble:
            if not await platform.submit(f"/batch/{first}", filling):
                return 2
            await asyncio.sleep(5)
            if any(not w.running for w in platform.workers):
                return 2
        if not await platform.submit(f"/urgent/{second}", serving):
            return 2
        results.append(await wait_for_run(platform, second, "the service"))
        await platform.request("GET", f"/urgent/{second}")
        await finish(platform, f"/urgent/{second}")
        await finish(platform, f"/batch/{first}")

        platform.record.add("second part: a service is everywhere, then a batch that fills comes")
        first, second = "00000000000000b1", "00000000000000b2"
        serving = {
            "spec": json.dumps({"lasting": True}),
            "phases": [lasting_phase(count=WORKERS, **SERVING)],
        }
        phase = {"count": 1, "cpu": 1000, "mem_mb": 4000, "estimate_ms": 2000, "fills": True}
        batch = {"spec": json.dumps({"work_s": 2.0}), "phases": [phase]}
        if has_trouble:
            if not await platform.submit(f"/urgent/{first}", serving):
                return 2
            await asyncio.sleep(5)
            if any(not w.running for w in platform.workers):
                return 2
        if not await platform.submit(f"/batch/{second}", batch):
            return 2
        results.append(await wait_for_run(platform, second, "the batch"))
        await platform.request("GET", f"/batch/{second}")
    return int(not all(results))


p3.main(case)
