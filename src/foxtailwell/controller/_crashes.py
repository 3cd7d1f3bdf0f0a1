"""Records crashes of workers as evidence against the tasks that may have caused them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from foxtailwell.adapters.events import TASK_GIVEN_UP, WORKER_CRASHED
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._links import WorkerLink
from foxtailwell.controller._workers import Workers
from foxtailwell.workflows import (
    SPREAD_S,
    Failure,
    JobRegistry,
    LostRun,
    StopReason,
    Task,
    TaskId,
    has_common_cause,
    is_given_up,
    judge_crash,
    may_coincide,
)

__all__ = ["CrashReports", "RunToQueue"]

JUDGEMENT_LIMIT_S = 1.6
"""Time after a silence begins within which the others with the same cause are noticed."""

MIN_SILENCE_S = 1.0
"""Shortest silence that may be due to the cause of a crash; a failed call alone ends sooner."""

MEMORY_S = 10.0
"""Time for which a crash is compared with others; longer than any judgement takes."""


@dataclass(frozen=True, slots=True)
class RunToQueue:
    """A run that ended with its worker, whose task may be queued again.

    Attributes:
        reason: How the end of the worker was noticed.
    """

    task: Task
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class _PendingCrash:
    """A crash whose judgement waits for what is known of the other workers.

    Attributes:
        failure: The crash, with its runs as they were when it was noticed; those whose starts had
            no answer yet come last.
        tasks: The other runs, in the same order.
        noticed_s: Local time at which it was noticed.
    """

    failure: Failure
    tasks: tuple[RunToQueue, ...]
    noticed_s: float


class CrashReports:
    """Weighs the crashes of workers; used only by the controller's main task.

    A crash is judged once each other worker is known to have lived on or to have failed as well,
    or `JUDGEMENT_LIMIT_S` after its silence began. Until then its runs count as placed, so that a
    new controller judges it anew.

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
        self._pending: list[_PendingCrash] = []
        self._pending_runs: set[tuple[TaskId, int]] = set()
        # Starts of the silences, by worker, for which the other workers have been probed.
        self._probed_for_s: dict[str, float] = {}
        self._crashes: list[Failure] = []

    def is_pending(self, task: Task) -> bool:
        """Return whether the newest run of a task ended with a crash that is not judged yet."""
        return (task.id, task.run) in self._pending_runs

    def report(self, worker: str, lost: Sequence[Task], reason: str) -> list[RunToQueue]:
        """Record that an incarnation of a worker has ended together with its runs.

        The end of an incarnation that has announced it is no crash, and a run whose start is still
        under way cannot have caused one.

        Args:
            worker: Identifier of the worker.
            lost: Tasks whose runs were on it.
            reason: How the end was noticed.

        Returns:
            The runs whose tasks need not wait for the judgement.
        """
        runs = [RunToQueue(task, task.run, reason) for task in lost]
        link = self._workers.links.get(worker)
        blamable = [
            run
            for run in runs
            if link is not None
            and not self._workers.has_announced_end(worker, run.task.boot_unix_ms)
            and not run.task.is_start_under_way
        ]
        if link is not None and blamable:
            # A run whose start has no answer yet is not blamed, but may be the cause.
            under_way = [t for t in self._registry.placed_on(worker) if t.is_start_under_way]
            failure = self._to_failure(link, [run.task for run in blamable] + under_way)
            self._pending.append(_PendingCrash(failure, tuple(blamable), self._now_s()))
            self._crashes.append(failure)
            self._metrics.count("worker_crashes")
            self._pending_runs |= {(run.task.id, run.run) for run in blamable}
            for run in blamable:
                # The other members of a gang need not run on, and the run itself needs no stop.
                self._registry.mark_stopping(run.task, StopReason.CRASHED)
                run.task.stopped_s = self._now_s()
        return [run for run in runs if run not in blamable]

    def judge(self) -> list[RunToQueue]:
        """Record the evidence of the crashes that can be judged.

        Returns:
            The runs of these crashes.
        """
        self._probe_beside_silent()
        if not self._pending:
            return []
        known = self._known_failures()
        judged = [crash for crash in self._pending if not self._is_undecided(crash, known)]
        if not judged:
            return []
        self._pending = [crash for crash in self._pending if crash not in judged]
        for crash in judged:
            self._judge(crash, known)
            self._pending_runs -= {(run.task.id, run.run) for run in crash.tasks}
        now_s = self._now_s()
        self._crashes = [f for f in self._crashes if now_s - f.silent_s < MEMORY_S]
        return [run for crash in judged for run in crash.tasks]

    def _probe_beside_silent(self) -> None:
        """Find out which workers live on beside one that a run may just have crashed.

        Otherwise a crash of the others would make it doubtful until their next listings.
        """
        now_s = self._now_s()
        for worker, link in self._workers.links.items():
            silent_s = link.silent_since_s
            is_new = link.is_unresponsive and self._probed_for_s.get(worker) != silent_s
            if not is_new or now_s <= silent_s + SPREAD_S:
                continue
            self._probed_for_s[worker] = silent_s
            failure = self._to_failure(link, self._registry.placed_on(worker))
            if not failure.may_have_inner_cause:
                continue
            for other in self._workers.links.values():
                if other.alive_s < silent_s + SPREAD_S and not other.is_unresponsive:
                    other.request_reading()
                    other.probe()

    def _judge(self, crash: _PendingCrash, known: Sequence[Failure]) -> None:
        # Evidence from crashes that were judged meanwhile makes a task a suspect.
        runs = tuple(
            replace(
                run,
                is_suspect=lost.task.is_blamed,
                is_on_probation=lost.run == lost.task.run and _is_blamed_on_probation(lost.task),
            )
            for run, lost in zip(crash.failure.runs, crash.tasks, strict=False)
        )
        unanswered = crash.failure.runs[len(crash.tasks) :]
        failure = replace(crash.failure, runs=runs + unanswered)
        others = self._failures_near(failure, known)
        weights = judge_crash(failure, others)
        log_event(
            WORKER_CRASHED,
            worker=failure.worker,
            silent_s=round(self._now_s() - failure.silent_s, 2),
            judged_after_s=round(self._now_s() - crash.noticed_s, 2),
            evidence={str(task): weight for task, weight in weights.items()},
            others=len(failure.runs) - len(weights),
            starts={str(lost.task.id): lost.task.describe_start() for lost in crash.tasks},
            near=dict(Counter(_describe(other) for other in others)),
        )
        for lost, run in zip(crash.tasks, runs, strict=True):
            # The task may have run again, and its job may have ended and be gone.
            is_current = self._registry.find(run.task) is lost.task and lost.task.run == lost.run
            if run.task in weights and is_current:
                self._record(lost.task, weights[run.task], is_immediate=run.is_immediate)

    def _record(self, task: Task, weight: int, *, is_immediate: bool) -> None:
        now_unix_ms = self._now_unix_ms()
        self._registry.record_crash(task, weight, now_unix_ms, is_immediate=is_immediate)
        if is_given_up(task.crashes):
            self._metrics.count("tasks_given_up")
            log_event(
                TASK_GIVEN_UP,
                job=task.id.job_id,
                task=str(task.id),
                runs=[crash.run for crash in task.crashes if crash.weight],
            )

    def _is_undecided(self, crash: _PendingCrash, known: Sequence[Failure]) -> bool:
        failure = crash.failure
        if self._now_s() - failure.silent_s >= JUDGEMENT_LIMIT_S:
            return False
        others = self._failures_near(failure, known)
        if has_common_cause(failure, others):
            return False
        decided = {failure.worker, *(other.worker for other in others if other.is_crash)}
        return any(
            link.alive_s <= failure.silent_s + SPREAD_S
            and not (link.is_unresponsive and link.silent_since_s < failure.alive_s - SPREAD_S)
            for worker, link in self._workers.links.items()
            if worker not in decided
        )

    def _failures_near(self, crash: Failure, known: Sequence[Failure]) -> list[Failure]:
        """Return the other workers that have crashed, or fallen silent, at the same moment."""
        others = [f for f in known if f.worker != crash.worker and may_coincide(crash, f)]
        if crash.alive_s > 0:
            return others
        # A new controller knows no worker from before, only when the incarnations began.
        included = {crash.worker, *(other.worker for other in others)}
        return others + [
            Failure(worker, 0.0, born_s, ())
            for worker, link in self._workers.links.items()
            if worker not in included
            and abs((born_s := _born_s(link)) - crash.silent_s) <= SPREAD_S
        ]

    def _known_failures(self) -> list[Failure]:
        """Return the workers that have crashed lately, are silent, or have restarted."""
        recorded = {(crash.worker, crash.alive_s) for crash in self._crashes}
        found = (self._find_failure(link) for link in self._workers.links.values())
        return self._crashes + [
            failure
            for failure in found
            if failure is not None and (failure.worker, failure.alive_s) not in recorded
        ]

    def _find_failure(self, link: WorkerLink) -> Failure | None:
        """Return the last failure of a worker; None if it has none.

        A worker without runs shows a crash only by its next incarnation.
        """
        placed = self._registry.placed_on(link.entry.id)
        is_silent = link.is_unresponsive or link.silence_s() >= MIN_SILENCE_S
        if self._workers.has_announced_end(link.entry.id, link.boot_unix_ms):
            return None
        if is_silent and link.alive_s <= link.silent_since_s:
            return replace(self._to_failure(link, placed), is_crash=False)
        replaced_s = self._workers.replaced_s(link.entry.id)
        if replaced_s is not None:
            return Failure(
                link.entry.id, link.alive_s, replaced_s, _to_lost_runs(placed, replaced_s)
            )
        lost = [task for task in placed if task.boot_unix_ms != link.boot_unix_ms]
        born_s = _born_s(link)
        if not math.isfinite(born_s) or not (lost or link.former_alive_s > 0):
            return None
        return Failure(link.entry.id, link.former_alive_s, born_s, _to_lost_runs(lost, born_s))

    def _to_failure(self, link: WorkerLink, lost: Sequence[Task]) -> Failure:
        """Return what is known of the end of a worker's runs.

        It ended before the next incarnation began, although a call may have failed later only.
        """
        has_restarted = any(task.boot_unix_ms != link.boot_unix_ms for task in lost)
        alive_s = link.former_alive_s if has_restarted else link.alive_s
        born_s = _born_s(link) if has_restarted else math.inf
        noticed_s = link.silent_since_s if link.silent_since_s > alive_s else self._now_s()
        silent_s = max(alive_s, min(born_s, noticed_s))
        return Failure(link.entry.id, alive_s, silent_s, _to_lost_runs(lost, silent_s))


def _born_s(link: WorkerLink) -> float:
    """Return the local time at which the worker's incarnation had begun; infinite if unknown.

    Its clock starts with it.
    """
    reading = link.reading
    is_read = reading is not None and reading.boot_unix_ms == link.boot_unix_ms
    return reading.latest_s(0) if reading and is_read else math.inf


def _to_lost_runs(lost: Iterable[Task], silent_s: float) -> tuple[LostRun, ...]:
    return tuple(_to_lost_run(task, silent_s) for task in lost)


def _to_lost_run(task: Task, silent_s: float) -> LostRun:
    # The time of a start that an earlier controller sent is not known.
    is_start_known = task.is_confirmed and task.start_settled_s > 0
    silent_after_s = silent_s - task.start_settled_s if is_start_known else math.inf
    if task.started_s <= silent_s:
        # The response to a start may arrive after the crash that it has caused.
        silent_after_s = max(0.0, silent_after_s)
    return LostRun(
        task.id,
        task.lasted_s,
        silent_after_s,
        task.is_blamed,
        _is_blamed_on_probation(task),
        # A start that was sent to a silent worker has not crashed it.
        is_unanswered=not task.is_confirmed
        and task.start_settled_s > 0
        and task.started_s <= silent_s,
    )


def _is_blamed_on_probation(task: Task) -> bool:
    return task.is_blamed and task.is_on_probation


def _describe(failure: Failure) -> str:
    """Return what is known of the cause of a failure, for the log."""
    if any(run.is_on_probation for run in failure.runs):
        return "suspect"
    return "fresh start" if failure.may_have_inner_cause else "no cause"
