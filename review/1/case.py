"""Many short tasks of one minion end while the controller is replaced."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

from standins.deployment import Client, Deployment, Queue, is_trouble_wanted, run_case
from standins.minion import End, Shape, Start

BATCH = Queue("seis-pick", 2)
JOBS = 40
TASKS = 50
SUBMIT_PAUSE_S = 0.25
FIRST_END_S = 16.0
ENDS_WITHIN_S = 1.8
SHAPE = Shape(cpu=128_000, mem_mb=262_144, gpu=8)
TASK = Shape(cpu=60, mem_mb=120)


def find_doubled(starts: list[Start], ends: list[End]) -> list[tuple[Start, End]]:
    """Return the starts after a run that ended as done, if that end was taken note of."""
    done = {
        end.task: end
        for end in ends
        if end.how == "done" and end.acked_s < float("inf") and not end.has_lapsed
    }
    return [
        (start, done[start.task])
        for start in starts
        if start.task in done and start.at_s > done[start.task].at_s
    ]


async def case(directory: Path, report: Callable[..., None]) -> bool:
    """Return whether a task ran again after it was done."""
    chance = random.Random(1)
    ends_at_s = 0.0

    def work_s(spec: str) -> float:
        return max(1.0, ends_at_s - time.monotonic()) + chance.uniform(0, ENDS_WITHIN_S)

    deployment = Deployment(directory, report, (BATCH,), work_s, SHAPE, minion_count=3)
    try:
        await deployment.start()
        client = Client(deployment)
        ends_at_s = time.monotonic() + FIRST_END_S
        for number in range(JOBS):
            left_ms = int((ends_at_s - time.monotonic()) * 1000)
            phase = {"count": TASKS, "cpu": TASK.cpu, "mem_mb": TASK.mem_mb}
            body = {"spec": f"batch {number}", "phases": [phase | {"estimate_ms": left_ms}]}
            assert await client.submit(BATCH.name, f"{number:016x}", body), "not accepted"
            await asyncio.sleep(SUBMIT_PAUSE_S)
        running = {m.id: len(m.running) for m in deployment.minions}
        report("all handed in", running=running)
        assert sum(running.values()) == JOBS * TASKS, "not all tasks run"
        await asyncio.sleep(max(0.0, ends_at_s - time.monotonic()))
        if is_trouble_wanted():
            controller = deployment.find(deployment.store.last_writer)
            report("kill", instance=controller.name)
            controller.signal(signal.SIGKILL)
        until_s = time.monotonic() + 60
        while time.monotonic() < until_s:
            await asyncio.sleep(1)
            states = [await client.state(BATCH.name, f"{n:016x}") for n in range(JOBS)]
            if all(state == "completed" for state in states):
                break
        report("states", states=states)
        starts = [start for minion in deployment.minions for start in minion.starts]
        ends = [end for minion in deployment.minions for end in minion.ends]
        doubled = find_doubled(starts, ends)
        for start, end in doubled[:20]:
            report(
                "task ran again after it was done",
                task=start.task,
                done_run=end.run,
                next_run=start.run,
                after_s=round(start.at_s - end.at_s, 2),
            )
        report("total", tasks=JOBS * TASKS, starts=len(starts), ran_again=len(doubled))
        return bool(doubled)
    finally:
        await deployment.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
