"""A controller is killed while users have handed in large batches for later."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path

from standins.deployment import (
    BOUNDS,
    Client,
    Deployment,
    Queue,
    fraction_in_use,
    is_trouble_wanted,
    room_for,
    run_case,
)
from standins.minion import Shape

BATCHES = 78
TASKS_PER_BATCH = 10_000
LATER_S = 3600
WORK_S = 4.0
NEED = Shape(cpu=15_000, mem_mb=8_000, gpu=1)
JOB = "b" * 16
WATCHED_S = 40.0
ELECTED = "FW1601"


def _work_s(spec: str) -> float:
    return WORK_S


async def _case(directory: Path, report: Callable[..., None]) -> bool:
    queues = (Queue("brine-check", 0), Queue("seis-pick", 2))
    shape = Shape(128_000, 256_000, 8)
    deployment = Deployment(directory, report, queues, _work_s, shape, minion_count=6)
    client = Client(deployment)
    try:
        await deployment.start()
        await _hand_in_batches(client)
        report("memory", mb={i.name: round(i.memory_mb()) for i in deployment.instances})
        job = {
            "spec": "check",
            "phases": [
                {"count": 2, "cpu": 15_000, "mem_mb": 8_000, "gpu": 1, "estimate_ms": 4000},
                {
                    "count": 2,
                    "cpu": 15_000,
                    "mem_mb": 8_000,
                    "gpu": 1,
                    "estimate_ms": 4000,
                    "after": [0],
                },
            ],
        }
        assert await client.submit("brine-check", JOB, job), "the job was not accepted"
        until_s = time.monotonic() + 15
        while not any(task.startswith(JOB) for task in deployment.running()):
            assert time.monotonic() < until_s, "the job has not begun"
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        if is_trouble_wanted():
            killed = deployment.find(deployment.store.last_writer)
            report("kill", instance=killed.name)
            killed.signal(signal.SIGKILL)
        return await _is_lost(deployment, client, report)
    finally:
        await deployment.stop()


async def _hand_in_batches(client: Client) -> None:
    start_ms = int((time.time() + LATER_S) * 1000)
    for number in range(BATCHES):
        step = {"count": TASKS_PER_BATCH, "cpu": 11_000, "mem_mb": 4_000, "estimate_ms": 7600}
        body = {
            "spec": "night batch",
            "phases": [step],
            "start_at_ms": start_ms,
            "interval_ms": 60_000,
            "repeat_count": 1,
        }
        assert await client.submit("seis-pick", f"{number:016x}", body), "a batch was not accepted"
        await asyncio.sleep(0.1)


async def _is_lost(deployment: Deployment, client: Client, report: Callable[..., None]) -> bool:
    """Watch the job as after the end of the traffic, and return whether it was lost.

    The rule asks from `finish_s` on, and wants 3 s in which the job has nothing running although a
    task's turn has come, with room for it twice over and under half of the capacity in use.
    """
    ended_s = time.monotonic()
    idle_since_s: float | None = None
    is_lost = False
    shapes = {JOB: NEED}
    while time.monotonic() - ended_s < WATCHED_S:
        await asyncio.sleep(0.1)
        now_s = time.monotonic()
        is_asked = now_s - ended_s >= BOUNDS["finish_s"]
        is_idle = not any(task.startswith(JOB) for task in deployment.running())
        has_room = room_for(deployment, shapes, NEED) >= 2
        if not (is_asked and is_idle and has_room and fraction_in_use(deployment, shapes) < 0.5):
            idle_since_s = None
            continue
        idle_since_s = idle_since_s or now_s
        if now_s - idle_since_s >= 3.0:
            is_lost = True
            break
        if await client.state("brine-check", JOB, attempts=1) == "completed":
            return False
    state = await client.state("brine-check", JOB)
    elections = deployment.count_logged(ELECTED)
    report(
        "log", elections=elections, mb={i.name: round(i.memory_mb()) for i in deployment.instances}
    )
    report(
        "verdict",
        state=state,
        room=room_for(deployment, shapes, NEED),
        after_s=round(time.monotonic() - ended_s, 1),
    )
    return is_lost and state != "completed"


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case)
