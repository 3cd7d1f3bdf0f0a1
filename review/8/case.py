"""Another tenant's tasks that last have borrowed all accelerators when a guarantee is claimed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "parts-2"))

from standins import Deployment, is_troubled, job, run_case, until  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
MINIONS = 6
GPU_EACH = 8
GUARANTEED = 16
MAX_UNAVAILABLE = 8
RECLAIM_S = 2.9
WATCH_S = 45.0
LASTING_JOB, URGENT_JOB = "00000000000000b2", "00000000000000b1"
TASKS = 2


async def case(deployment: Deployment) -> bool | None:
    """Hand in an urgent job within its tenant's guarantee, and see whether all its tasks begin."""
    await deployment.open(3, [{"zone": ZONES[n % 3]} for n in range(MINIONS)])
    routes = [{"name": "urgent", "priority": 0}, {"name": "later", "priority": 2}]
    deployment.configure(1, routes, (GUARANTEED, GUARANTEED))
    if not await deployment.until_ready():
        return None
    await asyncio.sleep(3.0)
    lasting = {
        "count": MINIONS * GPU_EACH,
        "cpu": 1_000,
        "mem_mb": 1_000,
        "gpu": 1,
        "estimate_ms": 1000,
        "perpetual": True,
        "max_unavailable": MAX_UNAVAILABLE,
    }
    urgent = {"count": TASKS, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1, "estimate_ms": 1000}
    if is_troubled():
        body = job(lasting, durations_s=[0])
        if not await deployment.submit("later", LASTING_JOB, body, tenant=2):
            return None
        if not await until(lambda: len(deployment.runs(LASTING_JOB)) == lasting["count"], 15):
            return None
        await asyncio.sleep(5.0)
    if not await deployment.submit("urgent", URGENT_JOB, job(urgent, durations_s=[1.0])):
        return None
    accepted_s = time.monotonic()
    await until(lambda: len(deployment.runs(URGENT_JOB)) == TASKS, WATCH_S)
    waited_s = time.monotonic() - accepted_s
    state = await deployment.state("urgent", URGENT_JOB)
    begun = len(deployment.runs(URGENT_JOB))
    deployment.record(f"check    {begun} of {TASKS} tasks begun after {waited_s:.1f} s: {state}")
    return begun == TASKS and waited_s <= RECLAIM_S


if __name__ == "__main__":
    run_case(FOLDER, case)
