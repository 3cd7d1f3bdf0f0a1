"""Applies worker reports on runs to the job registry: starts, progress, ends and lost runs."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Set

from foxtailwell.adapters.events import (
    LISTING_INCOMPLETE,
    RUN_ENDED,
    RUN_LOST,
    TASK_UNREADABLE,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._crashes import CrashReports, RunToQueue
from foxtailwell.controller._links import (
    IncarnationReplaced,
    ListingReceived,
    StartFinished,
    StopConfirmed,
)
from foxtailwell.controller._tickets import Tickets
from foxtailwell.controller._workers import Workers
from foxtailwell.workflows import (
    CommandOutcome,
    EndKind,
    JobRegistry,
    ListedRun,
    StopReason,
    Task,
    TaskId,
    TaskState,
)

__all__ = ["RunReports"]

_TASK_PATTERN = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")

MAX_LOGGED_CHARACTERS = 100
"""Limit of a malformed identifier in the log."""


class RunReports:
    """Applies worker reports to the job registry; used only by the controller's main task.

    Args:
        registry: State of all unfinished jobs.
        workers: Workers and their links.
        tickets: Tickets of the advisor; rejected ones are discarded.
        metrics: Counts starts, ended runs and lost runs.
        now_s: Local clock that also advances while the machine is suspended.
        now_unix_ms: Time of day.
        predecessor_expiry_s: Local time at which every lease of earlier controllers has expired.
    """

    def __init__(
        self,
        registry: JobRegistry,
        workers: Workers,
        tickets: Tickets,
        metrics: WorkMetrics,
        *,
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
        predecessor_expiry_s: float,
    ) -> None:
        self._registry = registry
        self._workers = workers
        self._tickets = tickets
        self._metrics = metrics
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._predecessor_expiry_s = predecessor_expiry_s
        self._crashes = CrashReports(
            registry, workers, metrics, now_s=now_s, now_unix_ms=now_unix_ms
        )
        self._orphaned_runs: set[tuple[str, TaskId, int]] = set()

    def apply_listing(self, event: ListingReceived) -> int:
        """Apply the running and ended runs that a worker lists.

        Only a complete listing shows that a run is gone; otherwise its end may be listed later.

        Returns:
            The highest listed number of an end; the one already durable if none is listed.
        """
        link = self._workers.links[event.worker]
        listing = event.listing
        now_unix_ms = self._now_unix_ms()
        for end in listing.ended:
            self._apply_end(event.worker, end.task, end.run, end.kind, end.checkpoint, now_unix_ms)
        running: set[tuple[str, int]] = set()
        for run in listing.running:
            running.add((run.task, run.run))
            self._apply_running(event.worker, listing.boot_unix_ms, run)
        unlisted = [
            task
            for task in self._registry.placed_on(event.worker)
            if (str(task.id), task.run) not in running and not self._crashes.is_pending(task)
        ]
        late = {
            (start.task, start.run)
            for start in self._workers.late_starts(event.worker, listing.boot_unix_ms)
        }
        link.has_unlisted_ends = not listing.is_complete
        if listing.is_complete:
            self._apply_unlisted(event, unlisted, late)
        else:
            log_event(
                LISTING_INCOMPLETE,
                worker=event.worker,
                ended=len(listing.ended),
                unaccounted=len(unlisted),
            )
        self._reject_late_starts(event.worker, late)
        return max((end.number for end in listing.ended), default=link.durable_end)

    def _apply_unlisted(
        self, event: ListingReceived, unlisted: list[Task], late: Set[tuple[TaskId, int]]
    ) -> None:
        """Apply that a worker has none of the given runs.

        Args:
            event: Complete listing of the worker.
            unlisted: Tasks whose runs it lists neither as running nor as ended.
            late: Tasks and runs of starts that may still reach the worker.
        """
        lost = [
            task
            for task in unlisted
            if task.boot_unix_ms != event.listing.boot_unix_ms
            # While a copy of its start may arrive, the new incarnation has to reject it first.
            and (
                (_has_begun_before(task, event.sent_s) and (task.id, task.run) not in late)
                or _is_stopped(task, event.sent_s)
            )
        ]
        self._apply_crash(event.worker, lost, "the worker restarted")
        for task in unlisted:
            if self._crashes.is_pending(task):
                continue
            if _is_stopped(task, event.sent_s):
                self._requeue_lost(task, "stopped before it began")
            elif task.state is TaskState.ASSIGNED and task.start_settled_s < event.sent_s:
                self._registry.mark_stopping(task, StopReason.UNLISTED)

    def _reject_late_starts(self, worker: str, late: Iterable[tuple[TaskId, int]]) -> None:
        """Stop runs that may still be delivered to another incarnation than they were sent to.

        A run that is placed there is listed, or stopped as one that is missing.
        """
        for task_id, run in late:
            task = self._registry.find(task_id)
            if task is None or not task.is_placed or (task.worker, task.run) != (worker, run):
                self._orphaned_runs.add((worker, task_id, run))

    def _apply_end(
        self, worker: str, text: str, run: int, kind: EndKind, checkpoint: str, now_unix_ms: int
    ) -> None:
        listed = _parse_task(text)
        task = self._registry.find_run(listed, run) if listed else None
        if task is None:
            return
        job_id = task.id.job_id
        details = self._cost(task) if task.run == run else {}
        if not self._registry.end_run(task, run, kind, checkpoint, now_unix_ms):
            return
        self._metrics.count("run_ends", how=kind.value)
        log_event(
            RUN_ENDED,
            job=job_id,
            task=text,
            run=run,
            worker=worker,
            how=kind.value,
            **details,
        )
        if kind is EndKind.DONE:
            self._workers.record_success(worker)
        elif kind is EndKind.FAILED and not self._registry.jobs[job_id].step(task.id).is_lasting:
            # Lasting tasks may fail at any time, which is no evidence against the worker.
            self._workers.record_failure(worker, job_id)

    def _apply_running(self, worker: str, boot_unix_ms: int, run: ListedRun) -> None:
        listed = _parse_task(run.task)
        task = self._registry.find_run(listed, run.run) if listed else None
        if task is not None and task.is_placed and task.run == run.run and task.worker == worker:
            task.boot_unix_ms = boot_unix_ms
            task.checkpoint = run.checkpoint or task.checkpoint
            self._registry.record_progress(task, run.percent, self._now_s())
            if not task.is_confirmed:
                self._registry.confirm(task)
        elif listed is not None:
            # No record asks for this run: its job has ended, or its lease was considered expired.
            self._orphaned_runs.add((worker, listed, run.run))

    def _apply_crash(self, worker: str, lost: list[Task], reason: str) -> None:
        """Queue the tasks again whose runs ended with an incarnation of their worker.

        Those that may have caused it wait for the judgement.
        """
        self._queue_lost(self._crashes.report(worker, lost, reason))

    def judge_crashes(self) -> None:
        """Record the evidence of crashes, and queue the tasks again that have waited for it."""
        self._queue_lost(self._crashes.judge())

    def _queue_lost(self, runs: Iterable[RunToQueue]) -> None:
        for lost in runs:
            if lost.task.is_placed and lost.task.run == lost.run:
                self._requeue_lost(lost.task, lost.reason)

    def _requeue_lost(self, task: Task, reason: str) -> None:
        self._metrics.count("runs_lost", reason=reason)
        log_event(
            RUN_LOST,
            job=task.id.job_id,
            task=str(task.id),
            run=task.run,
            worker=task.worker,
            reason=reason,
            lasted_s=round(task.lasted_s, 2),
            is_confirmed=task.is_confirmed,
            **self._cost(task),
        )
        self._registry.requeue(task)

    def _cost(self, task: Task) -> dict[str, object]:
        """Return what the newest run of a task has held, and why it was stopped, for the log."""
        step = self._registry.jobs[task.id.job_id].step(task.id)
        return {
            "stop_reason": task.stop_reason.value if task.stop_reason else "",
            "core_s": round(step.request.core_count * (self._now_s() - task.started_s), 1),
            "is_saved": step.is_checkpointing,
        }

    def apply_start(self, event: StartFinished) -> None:
        """Apply the outcome of a start command, or that it got no response.

        After an uncertain outcome the run is stopped before the task is queued again, because the
        worker may still start it.
        """
        if not event.is_certain:
            self._workers.record_unanswered_start(event)
        task = self._registry.find(event.task)
        if task is None or task.run != event.run or not task.is_placed:
            return
        if task.state is TaskState.STOPPING:
            # A run that cannot exist needs no stop, which its worker may be unable to confirm.
            if event.is_certain and event.outcome is not CommandOutcome.DONE:
                self._registry.requeue(task)
            return
        task.start_settled_s = event.settled_s
        outcome = event.outcome.value if event.outcome else "no answer"
        self._metrics.count("starts", outcome=outcome)
        self._metrics.observe_s("placement_to_start", task.start_settled_s - task.started_s)
        if event.outcome is CommandOutcome.DONE:
            self._registry.confirm(task)
            return
        if event.outcome is CommandOutcome.NO_TICKET:
            self._tickets.discard(task.id.unit_key, event.worker)
        else:
            self._workers.back_off(event.worker)
        if event.is_certain:
            self._registry.requeue(task)
        else:
            self._registry.mark_stopping(task, StopReason.UNANSWERED)

    def apply_stop(self, event: StopConfirmed) -> None:
        """Record that the worker confirmed a stop."""
        self._workers.record_stop(event)
        task = self._registry.find(event.task)
        if task is not None and task.run == event.run:
            task.stopped_s = event.confirmed_s

    def apply_replacement(self, event: IncarnationReplaced) -> None:
        """Queue the tasks again of a worker whose address now belongs to another incarnation.

        A crashed worker is replaced at its address within seconds, long before its leases expire.
        """
        lost = [
            task
            for task in self._registry.placed_on(event.worker)
            if task.boot_unix_ms <= event.boot_unix_ms
            # The response to a start that is under way tells whether there is a run.
            and not task.is_start_under_way
            and not self._crashes.is_pending(task)
        ]
        self._apply_crash(event.worker, lost, "another incarnation has its address")

    def take_orphaned_runs(self) -> set[tuple[str, TaskId, int]]:
        """Return the runs to stop that no record asks for, as (worker, task, run), each once.

        A worker reports them, or may get their starts late although it has restarted.
        """
        orphaned, self._orphaned_runs = self._orphaned_runs, set()
        return orphaned

    def requeue_from_removed(self) -> None:
        """Queue the tasks of removed workers again."""
        for worker in self._workers.take_removed():
            placed = self._registry.placed_on(worker)
            lost = [task for task in placed if not self._crashes.is_pending(task)]
            self._apply_crash(worker, lost, "the worker has left")

    def requeue_expired(self) -> None:
        """Queue the tasks again of workers whose leases have all expired without contact."""
        now_s = self._now_s()
        for worker in self._registry.workers_with_tasks():
            link = self._workers.links.get(worker)
            until_s = link.leases_expire_s if link else self._predecessor_expiry_s
            if now_s > until_s:
                for task in self._registry.placed_on(worker):
                    self._requeue_lost(task, "the lease lapsed without contact")


def _has_begun_before(task: Task, sent_s: float) -> bool:
    """Return whether a listing must contain a run: it was confirmed before the listing was sent."""
    return task.is_confirmed and task.start_settled_s < sent_s


def _is_stopped(task: Task, sent_s: float) -> bool:
    """Return whether a stop was confirmed before a listing was sent, so that no run can follow."""
    return task.state is TaskState.STOPPING and 0 < task.stopped_s <= sent_s


def _parse_task(text: str) -> TaskId | None:
    """Return the task that a worker names, with the client's identifier of its job."""
    found = _TASK_PATTERN.fullmatch(text)
    if found is None:
        log_event(TASK_UNREADABLE, task=text[:MAX_LOGGED_CHARACTERS])
        return None
    return TaskId(found[1], int(found[2]), int(found[3]), int(found[4]))
