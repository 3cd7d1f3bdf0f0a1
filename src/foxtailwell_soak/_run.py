"""One soak: a deployment, clients, faults, and the verdict."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from dataclasses import dataclass
from pathlib import Path

import anyio

from foxtailwell_soak._checker import Checker
from foxtailwell_soak._clients import Client
from foxtailwell_soak._faults import FaultInjector, draw_faults
from foxtailwell_soak._fleet import Fleet, open_fleet
from foxtailwell_soak._history import History
from foxtailwell_soak._operators import Operators

__all__ = ["SoakResult", "run_soak"]

SETTLE_S = 40.0
"""Time after the last fault in which every accepted job must end.

A lost worker is given up after its lease and that of a predecessor, 8.6 s here; a task may meet
several such workers in turn, and stalled runs are moved after 4 s.
"""

LOOK_S = 0.1
"""Pause between two looks at the runs of cancelled jobs."""

CLIENT_COUNT = 4


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak found.

    Attributes:
        faults: The series as it was played.
        accepted: Jobs that were accepted.
        runs: Runs that began.
    """

    seed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    accepted: int
    runs: int


def run_soak(
    seed: int,
    directory: Path,
    *,
    length_s: float = 12.0,
    instance_count: int = 3,
    worker_count: int = 8,
) -> SoakResult:
    """Run one soak.

    Args:
        seed: Seed of the faults and of the clients.
        directory: Takes settings and logs of the instances.
        length_s: Time in which faults begin.
        instance_count: Instances.
        worker_count: Workers.

    Returns:
        The verdict; `violations` is empty when every promise was kept.
    """
    logging.getLogger("uvicorn.error").addFilter(_is_no_cancellation)
    return anyio.run(
        _run, seed, directory, length_s, (instance_count, worker_count), backend="asyncio"
    )


def _is_no_cancellation(record: logging.LogRecord) -> bool:
    """Whether a line of a stand-in's server is more than a call that the end of a soak cut off."""
    return record.exc_info is None or not isinstance(record.exc_info[1], asyncio.CancelledError)


async def _run(seed: int, directory: Path, length_s: float, size: tuple[int, int]) -> SoakResult:
    rng = random.Random(seed)
    faults = draw_faults(rng, length_s)
    notes: list[str] = []
    history = History()
    async with anyio.create_task_group() as group:
        fleet = await open_fleet(group, directory, *size)
        try:
            operators = Operators(fleet, history)
            operators.configure()
            checker = Checker(fleet, history)
            group.start_soon(checker.run)
            player = FaultInjector(fleet, operators, random.Random(seed + 1), notes.append)
            player.keep_running(group)
            began_s = time.monotonic()
            clients = [
                Client(fleet, history, random.Random(seed * 100 + number))
                for number in range(CLIENT_COUNT)
            ]
            async with anyio.create_task_group() as load:
                load.start_soon(player.play, faults, began_s)
                for client in clients:
                    load.start_soon(client.run, began_s + length_s)
            async with anyio.create_task_group() as settling:
                for client in clients:
                    settling.start_soon(client.settle, SETTLE_S)
            await _until_cancelled_runs_end(fleet, history)
            checker.look()
            checker.check_responses()
        finally:
            group.cancel_scope.cancel()
            for endpoint in fleet.clients:
                endpoint.close()
            fleet.close()
    spans = sum(len(port.worker.spans) for port in fleet.workers)
    accepted = sum(bool(job.accepted_s) for job in history.jobs.values())
    return SoakResult(seed, tuple(notes), tuple(history.violations), accepted, spans)


async def _until_cancelled_runs_end(fleet: Fleet, history: History) -> None:
    """Wait until nothing of a cancelled job runs; a longer wait is left to the verdict."""
    cancelled = {job.job_id for job in history.jobs.values() if job.cancel_sent_s}

    def runs_on() -> bool:
        return any(
            task.partition(".")[0] in cancelled
            for port in fleet.workers
            for task in port.worker.running
        )

    for _ in range(int(SETTLE_S / LOOK_S)):
        if not runs_on():
            return
        await anyio.sleep(LOOK_S)
