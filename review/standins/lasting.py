"""Watches tasks that last, by the rule LOST."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from standins.deployment import Deployment, fraction_in_use, room_for
from standins.minion import Shape

__all__ = ["lasting_job", "lost_tasks", "wait_until_at_work"]

AFTER_RUN_S = 6.0
"""The rule holds for a task that lasts from this time after its last run."""

NOTHING_RUNNING_S = 3.0
CALM_BEFORE_S = 4.0


def lasting_job(spec: str, count: int, shape: Shape, **fields: object) -> dict:
    """Return the body of a job with one step of tasks that last."""
    step = {"count": count, "cpu": shape.cpu, "mem_mb": shape.mem_mb, "gpu": shape.gpu}
    return {
        "spec": spec,
        "phases": [{k: v for k, v in step.items() if v} | {"perpetual": True} | fields],
    }


async def wait_until_at_work(deployment: Deployment, tasks: Iterable[str], limit_s: float) -> bool:
    """Wait until all tasks are at work, and return whether they are."""
    wanted = set(tasks)
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        at_work = {
            r.task for m in deployment.minions for r in m.running.values() if r.percent() >= 100
        }
        if wanted <= at_work:
            return True
        await asyncio.sleep(0.05)
    return False


async def lost_tasks(
    deployment: Deployment,
    report: Callable[..., None],
    shapes: dict[str, Shape],
    tasks: Iterable[str],
    calm_since_s: float,
    watched_s: float,
) -> list[str]:
    """Return the tasks that are lost by the rule, as soon as there are any.

    For 3 s a task has nothing running, from 6 s after its last run, with room for it twice over;
    these 3 s and the 4 s before them are calm.

    Args:
        deployment: Deployment to watch.
        report: Writes a line to the record.
        shapes: Shapes of tasks, by the name of their job.
        tasks: Names of the tasks that last; each has run before.
        calm_since_s: Monotonic time of the end of the last disruption.
        watched_s: Time for which they are watched.
    """
    tasks = sorted(tasks)
    began_s = time.monotonic()
    last_ran_s = dict.fromkeys(tasks, began_s)
    idle_since_s: dict[str, float] = {}
    while time.monotonic() - began_s < watched_s:
        await asyncio.sleep(0.1)
        now_s = time.monotonic()
        running = deployment.running()
        for task in tasks:
            if task in running:
                last_ran_s[task] = now_s
            need = shapes[task.partition(".")[0]]
            is_due = (
                now_s - last_ran_s[task] >= AFTER_RUN_S and now_s - calm_since_s >= CALM_BEFORE_S
            )
            if task in running or not is_due or room_for(deployment, shapes, need) < 2:
                idle_since_s.pop(task, None)
            else:
                idle_since_s.setdefault(task, now_s)
        lost = [t for t, since_s in idle_since_s.items() if now_s - since_s >= NOTHING_RUNNING_S]
        if lost:
            report(
                "lost",
                tasks=lost,
                last_ran_ago_s={t: round(now_s - last_ran_s[t], 1) for t in lost},
                room={t: room_for(deployment, shapes, shapes[t.partition(".")[0]]) for t in lost},
                in_use=fraction_in_use(deployment, shapes),
                running=running,
            )
            return lost
    return []
