"""One soak test: starts a deployment, runs clients and faults against it, and checks the result."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from dataclasses import dataclass
from pathlib import Path

import anyio

from foxtailwell_soak._checker import Checker
from foxtailwell_soak._clients import PAUSE_S, Client
from foxtailwell_soak._faults import (
    Fault,
    FaultInjector,
    draw_crash_waves,
    draw_cuts,
    draw_faults,
    draw_lasting_faults,
    draw_workload_faults,
)
from foxtailwell_soak._fleet import Fleet, describe_processor_use, open_fleet
from foxtailwell_soak._history import History
from foxtailwell_soak._operators import Operators

__all__ = ["SoakResult", "run_soak"]

SETTLE_S = 40.0
"""Time limit for the end of all accepted jobs after the last fault.

The runs of a lost worker are replaced after its lease and that of its predecessor, 8.6 s with these
settings. A task may be assigned to several such workers in turn; stalled runs are moved after 4 s.
"""

USE_S = 6.0
"""Time within which each worker must get a task again, after the accepted jobs have ended."""

CHECK_INTERVAL_S = 0.1
"""Interval at which the runs of cancelled jobs are checked."""

CLIENT_COUNT = 4

QUIET_PAUSE_S = (1.0, 3.0)
"""Range of the pause between two jobs that leaves most workers idle."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one soak test.

    Attributes:
        faults: Descriptions of the injected faults in order.
        violations: Descriptions of the violated guarantees; empty if the test passed.
        accepted: Number of accepted jobs.
        runs: Number of started runs.
        processes: When each instance started, and how the processes shared processors.
    """

    seed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    accepted: int
    runs: int
    processes: tuple[str, ...]


def run_soak(
    seed: int,
    directory: Path,
    *,
    length_s: float = 12.0,
    instance_count: int = 3,
    worker_count: int = 8,
    has_lasting_faults: bool = True,
    has_cuts: bool = True,
    has_namesakes: bool = True,
    has_crash_waves: bool = True,
    has_large_job: bool = False,
    is_quiet: bool = False,
) -> SoakResult:
    """Run one soak test.

    Args:
        seed: Seed of the faults and of the clients' choices.
        directory: Takes settings files and logs of the instances.
        length_s: Time after the start in which faults begin and clients submit jobs.
        instance_count: Number of instances.
        worker_count: Number of workers.
        has_lasting_faults: Whether to add the faults of `draw_lasting_faults`.
        has_cuts: Whether to add the faults of `draw_cuts`.
        has_namesakes: Whether clients also submit jobs with one identifier to both queues.
        has_crash_waves: Whether to add the faults of `draw_crash_waves`.
        has_large_job: Whether a client also submits a job of many steps.
        is_quiet: Whether one client with long pauses and the faults of `draw_crash_waves` are all.

    Returns:
        The result; `violations` is empty if the test passed.
    """
    logging.getLogger("uvicorn.error").addFilter(_is_not_cancellation)
    faults = draw_faults(random.Random(seed), length_s)
    faults += draw_workload_faults(random.Random(seed + 2), length_s)
    if has_lasting_faults:
        faults += draw_lasting_faults(random.Random(seed + 3), length_s)
    if has_cuts:
        faults += draw_cuts(random.Random(seed + 4), length_s)
    if has_crash_waves:
        faults += draw_crash_waves(random.Random(seed + 5), length_s)
    if is_quiet:
        faults = draw_crash_waves(random.Random(seed + 5), length_s)
    faults.sort(key=lambda fault: fault.at_s)
    size = (instance_count, worker_count)
    arguments = (seed, faults, directory, length_s, size, has_namesakes, has_large_job, is_quiet)
    return anyio.run(_run, *arguments, backend="asyncio")


def _is_not_cancellation(record: logging.LogRecord) -> bool:
    """Whether to log a record; drops errors of calls that the end of the test cancelled."""
    return record.exc_info is None or not isinstance(record.exc_info[1], asyncio.CancelledError)


async def _run(
    seed: int,
    faults: list[Fault],
    directory: Path,
    length_s: float,
    size: tuple[int, int],
    has_namesakes: bool,
    has_large_job: bool,
    is_quiet: bool,
) -> SoakResult:
    descriptions: list[str] = []
    history = History()
    origin_unix_s = time.time()
    async with anyio.create_task_group() as group:
        fleet = await open_fleet(group, directory, *size)
        try:
            operators = Operators(fleet, history)
            operators.configure()
            checker = Checker(fleet, history)
            group.start_soon(checker.run)
            injector = FaultInjector(fleet, operators, random.Random(seed + 1), descriptions.append)
            injector.keep_running(group)
            start_s = time.monotonic()
            clients = [
                Client(
                    fleet,
                    history,
                    random.Random(seed * 100 + number),
                    random.Random(seed * 100 + CLIENT_COUNT + number) if has_namesakes else None,
                    QUIET_PAUSE_S if is_quiet else PAUSE_S,
                )
                for number in range(1 if is_quiet else CLIENT_COUNT)
            ]
            async with anyio.create_task_group() as running:
                running.start_soon(injector.run, faults, start_s)
                if has_large_job:
                    running.start_soon(clients[0].submit_large, random.Random(f"large {seed}"))
                for client in clients:
                    running.start_soon(client.run, start_s + length_s)
            # Its end shows that a controller is at work again.
            await clients[0].submit_until_accepted(1, 0.2, SETTLE_S)
            async with anyio.create_task_group() as ending:
                for client in clients:
                    ending.start_soon(client.wait_until_ended, SETTLE_S)
            await clients[0].occupy_all_workers(SETTLE_S, USE_S)
            await _until_cancelled_runs_end(fleet, history)
            checker.check_new()
            checker.check_responses()
            checker.check_logs()
            processes = [i.describe_starts(origin_unix_s) for i in fleet.instances]
            processes.append(f"soak test: {describe_processor_use(os.getpid())}")
        finally:
            group.cancel_scope.cancel()
            for endpoint in fleet.clients:
                endpoint.close()
            fleet.close()
    run_count = sum(len(handle.worker.spans) for handle in fleet.workers)
    accepted = sum(bool(job.accepted_s) for job in history.jobs.values())
    return SoakResult(
        seed,
        tuple(descriptions),
        tuple(history.violations),
        accepted,
        run_count,
        tuple(processes),
    )


async def _until_cancelled_runs_end(fleet: Fleet, history: History) -> None:
    """Wait up to `SETTLE_S` until no cancelled job has runs; the checker reports later ones."""

    def has_running() -> bool:
        running = (run for handle in fleet.workers for run in handle.worker.running.values())
        jobs = (history.find(run.span) for run in running)
        return any(job is not None and job.cancel_sent_s for job in jobs)

    for _ in range(int(SETTLE_S / CHECK_INTERVAL_S)):
        if not has_running():
            return
        await anyio.sleep(CHECK_INTERVAL_S)
