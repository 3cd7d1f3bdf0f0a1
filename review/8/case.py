"""Jobs that last lose their minion once; they are to run again beside plenty of room."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "parts-2"))

from standins import Deployment, Minion, Run, is_troubled, job, run_case, until  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
MINIONS = 8
JOBS = 5
UPTIME_S = 25.0
"""Time for which the jobs run before the minion crashes."""

DOWN_S = 2.0
"""Time until the minion is back after its crash."""

CALM_S = 4.0 + 3.0
"""The rule counts 3 s without a run, if these and the 4 s before are calm."""

AFTER_RUN_S = 6.0
"""The rule counts from 6 s after the last run of a task."""

WATCH_S = 30.0
LARGE_JOB = "00000000000000ff"
LARGE = {"cpu": 40_000, "mem_mb": 225_000, "gpu": 2}
SMALL = {"cpu": 4_000, "mem_mb": 40_000, "gpu": 1}


def last_run(deployment: Deployment, job_id: str) -> Run:
    """Return the newest run of a job's only task."""
    return deployment.runs(job_id)[-1]


def has_room_twice(minions: list[Minion]) -> bool:
    """Return whether a minion has room for a task of the small jobs twice over."""
    for minion in minions:
        requests = [
            LARGE if r.task.startswith(LARGE_JOB) else SMALL for r in minion.running.values()
        ]
        free_cpu = minion.cpu - sum(r["cpu"] for r in requests)
        free_mb = minion.mem_mb - sum(r["mem_mb"] for r in requests)
        free_gpu = minion.gpu - sum(r["gpu"] for r in requests)
        is_room = (
            free_cpu >= 2 * SMALL["cpu"]
            and free_mb >= 2 * SMALL["mem_mb"]
            and free_gpu >= 2 * SMALL["gpu"]
        )
        if minion.is_up and is_room:
            return True
    return False


async def case(deployment: Deployment) -> bool | None:
    """Crash the minion of the small jobs, and see whether they run again."""
    await deployment.open(3, [{"zone": ZONES[n % 3]} for n in range(MINIONS)])
    deployment.configure(1, [{"name": "serve", "priority": 1}])
    if not await deployment.until_ready():
        return None
    await asyncio.sleep(3.0)
    # All minions but one are nearly full of memory, so that most of the pool is in use.
    lasts = {"estimate_ms": 1000, "perpetual": True}
    large = LARGE | lasts | {"count": MINIONS - 1, "max_per_server": 1}
    small = SMALL | lasts | {"count": 1}
    if not await deployment.submit("serve", LARGE_JOB, job(large, durations_s=[0])):
        return None
    if not await until(lambda: len(deployment.runs(LARGE_JOB)) == MINIONS - 1, 10):
        return None
    ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for job_id in ids:
        if not await deployment.submit("serve", job_id, job(small, durations_s=[0])):
            return None
    if not await until(lambda: all(deployment.runs(i) for i in ids), 10):
        return None
    victim = next(m for m in deployment.minions if m.id == last_run(deployment, ids[0]).minion)
    if any(last_run(deployment, i).minion != victim.id for i in ids):
        deployment.record("check    the jobs are not on one minion")
        return None
    await asyncio.sleep(UPTIME_S)
    ready_s = time.monotonic()
    if is_troubled():
        victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.open()
        ready_s = time.monotonic()
    broken: dict[str, float] = {}
    idle_since_s = dict.fromkeys(ids, 0.0)
    end_s = ready_s + WATCH_S
    while time.monotonic() < end_s:
        await asyncio.sleep(0.1)
        now_s = time.monotonic()
        for job_id in ids:
            run = last_run(deployment, job_id)
            if not run.ended_s or not has_room_twice(deployment.minions):
                idle_since_s[job_id] = 0.0
                continue
            idle_since_s[job_id] = idle_since_s[job_id] or now_s
            is_calm = now_s - ready_s >= CALM_S
            is_due = now_s - run.ended_s >= AFTER_RUN_S + 3.0
            if is_calm and is_due and now_s - idle_since_s[job_id] >= CALM_S:
                broken[job_id] = now_s - run.ended_s
    for job_id, idle_s in broken.items():
        deployment.record(f"check    job {job_id} had nothing running for {idle_s:.1f} s or more")
    for minion in deployment.minions:
        deployment.record(f"check    {minion.id} runs {sorted(minion.running)}")
    return not broken


if __name__ == "__main__":
    run_case(FOLDER, case)
