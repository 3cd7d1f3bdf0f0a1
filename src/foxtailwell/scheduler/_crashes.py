"""Crashes of the workers of one zone, each judged once it is known which others failed with it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.events import WORKER_RESTARTED
from foxtailwell.adapters.logs import log_event
from foxtailwell.core import (
    TASK_LEASE_S,
    CrashedRun,
    WorkerFailure,
    judge_crash,
    may_coincide,
)
from foxtailwell.scheduler._links import WorkerLink

__all__ = ["CrashReports"]

MEMORY_S = 2 * TASK_LEASE_S
"""Time for which a restart is compared with others. A worker that is silent for longer than its
task leases has no gang any more, so its restart is not noticed."""


@dataclass(frozen=True, slots=True)
class _PendingCrash:
    """A crash whose judgement waits for calls of other workers.

    Attributes:
        failure: The restarted worker and the runs that it lost.
        noticed_s: When the restart was noticed.
        awaited: Other workers in use at that time.
        judged: Set once the evidence is known.
    """

    failure: WorkerFailure
    noticed_s: float
    awaited: frozenset[str]
    judged: anyio.Event = field(default_factory=anyio.Event)


class CrashReports:
    """Judges the crashes of one zone's workers; used only by the tasks of its executor.

    Times are readings of the local monotonic clock.

    Args:
        zone: Name of the zone.
        links: Connections to the workers in use, by worker.
        runs_on: Returns the runs that are on a worker.
    """

    def __init__(
        self,
        zone: str,
        links: Mapping[str, WorkerLink],
        runs_on: Callable[[str], tuple[CrashedRun, ...]],
    ) -> None:
        self._zone = zone
        self._links = links
        self._runs_on = runs_on
        self._pending: list[_PendingCrash] = []
        self._failures: list[WorkerFailure] = []

    def report(self, failure: WorkerFailure, noticed_s: float) -> None:
        """Record that a worker has restarted; it is judged if it has lost runs.

        The other workers in use are called without delay, to learn whether they live on.
        """
        self._failures = [f for f in self._failures if noticed_s - f.failed_s < MEMORY_S]
        self._failures.append(failure)
        if not failure.runs:
            return
        awaited = frozenset(self._links) - {failure.worker}
        self._pending.append(_PendingCrash(failure, noticed_s, awaited))
        for worker in awaited:
            self._links[worker].wake.set()

    def judge(self) -> list[dict[str, int]]:
        """Return the weights by job of each crash that can be judged now."""
        judged = [crash for crash in self._pending if not self._is_undecided(crash)]
        self._pending = [crash for crash in self._pending if crash not in judged]
        return [self._judge(crash) for crash in judged]

    async def wait_until_judged(self, job_id: str) -> None:
        """Wait until no crash that may be blamed on a job is pending."""
        while pending := [
            crash for crash in self._pending if any(r.job_id == job_id for r in crash.failure.runs)
        ]:
            await pending[0].judged.wait()

    def _judge(self, crash: _PendingCrash) -> dict[str, int]:
        others = self._failures_near(crash.failure)
        weights = judge_crash(crash.failure, others)
        log_event(
            WORKER_RESTARTED,
            worker=crash.failure.worker,
            zone=self._zone,
            jobs=[run.job_id for run in crash.failure.runs],
            blamed=weights,
            near=sorted({other.worker for other in others}),
        )
        crash.judged.set()
        return weights

    def _is_undecided(self, crash: _PendingCrash) -> bool:
        restarted = [f for f in self._failures if may_coincide(crash.failure, f)]
        if not all(other.may_have_inner_cause for other in restarted):
            return False
        known = {other.worker for other in restarted}
        return any(
            link.alive_s <= crash.failure.failed_s and link.called_s < crash.noticed_s
            for worker, link in self._links.items()
            if worker in crash.awaited and worker not in known
        )

    def _failures_near(self, crash: WorkerFailure) -> list[WorkerFailure]:
        """Return the other workers that may have failed at the same moment."""
        silent = [
            WorkerFailure(worker, link.alive_s, link.silent_s, self._runs_on(worker))
            for worker, link in self._links.items()
            if link.silent_s is not None
        ]
        return [
            other
            for other in (*self._failures, *silent)
            if other.worker != crash.worker and may_coincide(crash, other)
        ]
