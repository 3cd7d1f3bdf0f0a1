"""Clients of two tenants choose the same ID for jobs on two queues."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "parts-2"))

from standins import Deployment, is_troubled, job, run_case  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
ID, OTHER_ID = "0000000000000001", "0000000000000002"
FIRST_S, SECOND_S = 1.0, 1.5
SECOND_TASKS = 3
FINISH_S = 14.0


async def case(deployment: Deployment) -> bool | None:
    """Hand in both jobs, and see whether the second one runs before it is shown as completed."""
    await deployment.open(3, [{"zone": zone} for zone in ZONES * 2])
    routes = [{"name": "surveys", "priority": 1}, {"name": "quotes", "priority": 1}]
    deployment.configure(1, routes, (8, 8))
    if not await deployment.until_ready():
        return None
    await asyncio.sleep(3.0)
    step = {"cpu": 1_000, "mem_mb": 1_000, "gpu": 1, "estimate_ms": 1000}
    first = job(step | {"count": 1}, durations_s=[FIRST_S])
    second = job(step | {"count": SECOND_TASKS}, durations_s=[SECOND_S])
    second_id = ID if is_troubled() else OTHER_ID
    if not await deployment.submit("surveys", ID, first, tenant=1):
        return None
    if not await deployment.submit("quotes", second_id, second, tenant=2):
        return None
    end_s = time.monotonic() + FINISH_S
    state = ""
    while time.monotonic() < end_s and state != "completed":
        await asyncio.sleep(0.5)
        state = await deployment.state("quotes", second_id, tenant=2)
    done = [r for r in deployment.runs(second_id) if r.spec == second["spec"] and r.how == "done"]
    deployment.record(
        f"check    the job of tenant 2 is {state}; {len(done)} of its {SECOND_TASKS} tasks are done"
    )
    return state == "completed" and len(done) == SECOND_TASKS


if __name__ == "__main__":
    run_case(FOLDER, case)
