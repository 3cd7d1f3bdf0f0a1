"""A wave that can't go on keeps its machines from all work, without limit."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import platform_3 as p3

WORKERS = 8
RACK = "r1-0"
SERVICE = "00000000000000a1"
JOB = "00000000000000b1"
WITHIN_S = 20
LIMIT_S = 60.0
"""Thrice `within_s`, and over four times `finish_s` (14)."""


async def case() -> int:
    """Return 1 if LOST was broken, else 0."""
    async with p3.Platform(Path(__file__).parent) as platform:
        for number in range(WORKERS):
            await platform.add_worker(f"w{number}", "ab"[number % 2], f"r1-{number // 2}")
        platform.configure(7, [p3.route("urgent", priority=0), p3.route("batch", priority=2)])
        platform.start_instance("i0", "a")
        platform.start_instance("i1", "b")
        phase = {
            "count": WORKERS + 1,
            "cpu": 1000,
            "mem_mb": 1000,
            "estimate_ms": 1000,
            "perpetual": True,
            "max_unavailable": 1,
            "max_per_server": 1,
        }
        service = {"spec": json.dumps({"lasting": True}), "phases": [phase]}
        if not await platform.submit(f"/batch/{SERVICE}", service):
            return 2
        await asyncio.sleep(6)
        if any(len(worker.running) != 1 for worker in platform.workers):
            return 2
        machines = [m for m, worker in platform.machines.workers.items() if worker.rack == RACK]
        if p3.has_trouble():
            wave = {
                "wave": 1,
                "machines": machines,
                "within_s": WITHIN_S,
                "max_count": len(machines),
            }
            platform.store.put("op/wave/1", json.dumps(wave).encode())
            platform.record.add(f"the operator writes op/wave/1: {json.dumps(wave)}")
        await asyncio.sleep(WITHIN_S + 4)
        small = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500, "required_label": RACK}
        job = {"spec": json.dumps({"work_s": 0.5}), "phases": [small]}
        if not await platform.submit(f"/urgent/{JOB}", job):
            return 2
        until_s = time.monotonic() + LIMIT_S
        has_run = False
        while not has_run and time.monotonic() < until_s:
            has_run = any(
                task.startswith(JOB) for worker in platform.workers for task in worker.running
            )
            await asyncio.sleep(0.05)
        for at in range(2):
            await platform.request("GET", f"/urgent/{JOB}", at=at)
        platform.record.add(f"status/wave/1: {platform.store.value('status/wave/1').decode()}")
        for machine in machines:
            running = sorted(platform.machines.workers[machine].running)
            platform.record.add(f"{machine} runs {running} of 1 core each; it has 128 cores")
        if not has_run:
            platform.record.add(f"LOST: {JOB} has had nothing running for {LIMIT_S:.0f} s")
    return int(not has_run)


p3.main(case)
