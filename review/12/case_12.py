"""One job of many steps stops the controller, and with it all jobs of all clients."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import platform_3 as p3

WORKERS = 8
LARGE_STEPS = 2_000
USUAL_STEPS = 3
TRAFFIC_S = 36.0
FINISH_S = 14.0
IDLE_S = 3.0


async def case() -> int:
    """Return 1 if LOST was broken, else 0."""
    large = "00000000000000aa"
    accepted: list[str] = []
    last_run_s: dict[str, float] = {}
    async with p3.Platform(Path(__file__).parent) as platform:
        platform.record.summarized = large

        async def watch_runs(for_s: float) -> None:
            until_s = time.monotonic() + for_s
            while time.monotonic() < until_s:
                for worker in platform.workers:
                    for task in worker.running:
                        last_run_s[task.partition(".")[0]] = time.monotonic()
                await asyncio.sleep(0.1)

        for number in range(WORKERS):
            await platform.add_worker(f"w{number}", "ab"[number % 2], f"r1-{number // 2}")
        platform.configure(7, [p3.route("urgent", priority=0), p3.route("batch", priority=2)])
        platform.start_instance("i0", "a")
        platform.start_instance("i1", "b")
        small_phase = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500}
        small = {"spec": json.dumps({"work_s": 0.5}), "phases": [small_phase]}
        if not await platform.submit("/urgent/0000000000000001", small):
            return 2
        accepted.append("/urgent/0000000000000001")
        await watch_runs(2.0)
        steps = LARGE_STEPS if p3.has_trouble() else USUAL_STEPS
        job = {"spec": json.dumps({"work_s": 0.5}), "phases": [small_phase] * steps}
        if not await platform.submit(f"/batch/{large}", job):
            return 2
        accepted.append(f"/batch/{large}")
        end_s = time.monotonic() + TRAFFIC_S
        number = 1
        while time.monotonic() < end_s:
            number += 1
            path = f"/urgent/{number:016x}"
            status, _ = await platform.request("POST", path, small, at=number % 2)
            if status == 200:
                accepted.append(path)
            await watch_runs(3.0)
        platform.record.add("the traffic has ended")
        await watch_runs(FINISH_S + IDLE_S)
        lost = []
        for path in accepted:
            status, answer = 0, {}
            for attempt in range(3):
                status, answer = await platform.request("GET", path, at=attempt % 2)
                if status == 200:
                    break
            idle_s = time.monotonic() - last_run_s.get(path.rpartition("/")[2], 0.0)
            if answer.get("state") in ("queued", "running") and idle_s >= IDLE_S:
                lost.append(path)
        used = sum(len(worker.running) for worker in platform.workers)
        platform.record.add(
            f"{len(accepted)} jobs were accepted; {len(lost)} have ended neither, nor has anything "
            f"of them run for {IDLE_S:.0f} s: {lost}; the workers run {used} tasks in all"
        )
    return int(bool(lost) and used < WORKERS)


p3.main(case)
