"""Records crashes of workers as evidence against the tasks that may have caused them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from foxtailwell.adapters.events import TASK_GIVEN_UP, WORKER_CRASHED
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._links import WorkerLink
from foxtailwell.controller._workers import Workers
from foxtailwell.workflows import (
    CERTAIN_WEIGHT,
    JobRegistry,
    LostRun,
    Task,
    is_given_up,
    weigh_crash,
)

__all__ = ["CrashReports"]

SIMULTANEOUS_S = 2.0
"""Longest time between two silences with one cause; a lost worker is noticed within 1.6 s."""

MIN_SILENCE_S = 1.0
"""Shortest silence that may be due to the cause of a crash; a failed call alone ends sooner."""


class CrashReports:
    """Weighs the crashes of workers; used only by the controller's main task.

    Args:
        registry: State of all unfinished jobs.
        workers: Workers and their links.
        metrics: Counts crashes and given up tasks.
        now_s: Local clock that also advances while the machine is suspended.
        now_unix_ms: Time of day.
    """

    def __init__(
        self,
        registry: JobRegistry,
        workers: Workers,
        metrics: WorkMetrics,
        *,
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
    ) -> None:
        self._registry = registry
        self._workers = workers
        self._metrics = metrics
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        # Starts of the silences that ended with a crash, by worker, and of those among them whose
        # cause is a suspect or a certain one.
        self._crashed_since_s: dict[str, float] = {}
        self._explained_since_s: dict[str, float] = {}

    def apply(self, worker: str, lost: Sequence[Task]) -> None:
        """Record that an incarnation of a worker has ended together with its runs.

        The end of an incarnation that has announced it is no crash.

        Args:
            worker: Identifier of the worker.
            lost: Tasks whose runs were on it.
        """
        link = self._workers.links.get(worker)
        lost = [t for t in lost if not self._workers.has_announced_end(worker, t.boot_unix_ms)]
        if link is None or not lost:
            return
        runs = [_to_lost_run(task, link) for task in lost]
        near = self._describe_silences_near(link)
        is_isolated = self._is_isolated(link)
        self._crashed_since_s[worker] = link.silent_since_s
        weights = weigh_crash(runs, is_isolated=is_isolated)
        if CERTAIN_WEIGHT in weights.values() or any(task.is_on_probation for task in lost):
            self._explained_since_s[worker] = link.silent_since_s
        self._metrics.count("worker_crashes")
        log_event(
            WORKER_CRASHED,
            worker=worker,
            silent_s=round(self._now_s() - link.silent_since_s, 2),
            is_isolated=is_isolated,
            evidence={str(task): weight for task, weight in weights.items()},
            others=len(lost) - len(weights),
            starts={str(t.id): _describe_start(t) for t in lost if t.id in weights},
            near=near,
        )
        for task, run in zip(lost, runs, strict=True):
            if task.id in weights:
                self._record(task, weights[task.id], is_immediate=run.is_immediate)

    def _record(self, task: Task, weight: int, *, is_immediate: bool) -> None:
        now_unix_ms = self._now_unix_ms()
        self._registry.record_crash(task, weight, now_unix_ms, is_immediate=is_immediate)
        if is_given_up(task.crashes):
            self._metrics.count("tasks_given_up")
            log_event(
                TASK_GIVEN_UP,
                job=task.id.job_id,
                task=str(task.id),
                runs=[crash.run for crash in task.crashes],
            )

    def _describe_silences_near(self, crashed: WorkerLink) -> dict[str, str]:
        """Return the other workers that fell silent at the same time, for the log."""
        return {
            link.entry.id: "explained"
            if self._has_explanation(link)
            else "crashed"
            if self._crashed_since_s.get(link.entry.id) == link.silent_since_s
            else f"silent for {link.silence_s():.2f} s"
            for link in self._workers.links.values()
            if link is not crashed
            and abs(link.silent_since_s - crashed.silent_since_s) <= SIMULTANEOUS_S
        }

    def _is_isolated(self, crashed: WorkerLink) -> bool:
        return not any(
            link is not crashed
            and self._is_silence_near(link, crashed.silent_since_s)
            and not self._has_explanation(link)
            for link in self._workers.links.values()
        )

    def _is_silence_near(self, link: WorkerLink, at_s: float) -> bool:
        is_near = abs(link.silent_since_s - at_s) <= SIMULTANEOUS_S
        has_crashed = self._crashed_since_s.get(link.entry.id) == link.silent_since_s
        return is_near and (has_crashed or link.silence_s() >= MIN_SILENCE_S)

    def _has_explanation(self, link: WorkerLink) -> bool:
        """Return whether a suspect on probation was on a worker when it fell silent."""
        worker = link.entry.id
        return self._explained_since_s.get(worker) == link.silent_since_s or any(
            task.is_on_probation for task in self._registry.placed_on(worker)
        )


def _describe_start(task: Task) -> str:
    """Return what is known of the start of a lost run, for the log."""
    if task.is_confirmed:
        return "confirmed"
    if task.start_settled_s == math.inf:
        return "in flight"
    return "no answer" if task.start_settled_s > 0 else "earlier term"


def _to_lost_run(task: Task, link: WorkerLink) -> LostRun:
    # The time of a start that an earlier controller sent is not known.
    is_start_known = task.is_confirmed and task.start_settled_s > 0
    silent_after_s = link.silent_since_s - task.start_settled_s if is_start_known else math.inf
    return LostRun(task.id, task.lasted_s, silent_after_s, bool(task.crashes), task.is_on_probation)
