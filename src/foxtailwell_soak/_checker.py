"""Checks that the deployment kept its guarantees towards workers, clients and operators."""

from __future__ import annotations

import math
import time
from collections import Counter

import anyio

from foxtailwell.workflows import EndKind, Resources
from foxtailwell_soak._fleet import BOUNDS, HEARTBEAT_S, Fleet, WorkerHandle
from foxtailwell_soak._history import MAX_ATTEMPTS, History, JobRecord
from foxtailwell_standins.platform_worker import RunSpan

__all__ = ["Checker"]

CHECK_INTERVAL_S = 0.05
"""Pause between two checks; workers record the times of runs, so no run is missed."""

CAPACITY_GRACE_S = BOUNDS.contact_ms / 1000 + HEARTBEAT_S
"""Time for which a capacity still counts after it has shrunk."""

FORBIDDEN_FATAL_STARTS = 3 + 3
"""Starts of a task that crashes its workers: three more after three workers have crashed."""

WAVE_S = 1.6 + 0.25
"""Longest time between the crash by a task and a common one that may excuse it.

The controller notices a lost worker within 1.6 s, and takes crashes 0.25 s apart for simultaneous.
"""

TOLERANCE_S = 0.2
"""Tolerance for the delay between an event and its record on a loaded machine."""


class Checker:
    """Compares the runs on all workers with the history of clients and operators.

    Args:
        fleet: Workers and instances.
        history: Responses and operator changes; takes the violations.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        # By address, as a worker may restart under another identifier.
        self._checked_count: dict[str, int] = {}
        # By name and payload, as tasks of two jobs may have one name.
        self._runs: dict[tuple[str, str], list[RunSpan]] = {}
        self._acknowledged_s: dict[tuple[str, str], float] = {}
        self._payloads: dict[tuple[str, int], str] = {}

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check_new()
            await anyio.sleep(CHECK_INTERVAL_S)

    def check_new(self) -> None:
        """Check all runs and process exits since the last call."""
        for handle in self._fleet.workers:
            spans = handle.worker.spans
            for span in spans[self._checked_count.get(handle.address, 0) :]:
                self._check_start(handle, span)
                self._check_capacity(handle, span)
                self._runs.setdefault(_task_key(span), []).append(span)
                self._check_crashes(span)
            self._checked_count[handle.address] = len(spans)
            self._record_acknowledged_ends(handle)
        for instance in self._fleet.instances:
            if instance.has_exited_unexpectedly():
                self._history.add_violation(
                    f"{instance.name} exited without a signal of the soak test"
                )

    def _check_start(self, handle: WorkerHandle, span: RunSpan) -> None:
        job = self._history.find(span)
        if job is None:
            self._history.add_violation(f"{span.task} was never submitted")
            return
        if self._payloads.setdefault((span.task, span.run), span.payload) != span.payload:
            self._history.add_violation(f"two jobs have a run {span.run} of {span.task}")
        for other in self._runs.get(_task_key(span), ()):
            if other.started_s < span.ended_s and span.started_s < other.ended_s:
                self._history.add_violation(
                    f"{span.task} ran twice at once: {_describe(other)} and {_describe(span)}"
                )
        done_s = self._acknowledged_s.get(_task_key(span), math.inf)
        if span.started_s > done_s + TOLERANCE_S and not span.is_delayed:
            self._history.add_violation(
                f"{span.task} started again {span.started_s - done_s:.2f} s after done"
            )
        if span.is_delayed:
            return
        cancelled_s = job.cancelled_s or math.inf
        if span.started_s > cancelled_s + BOUNDS.cancel_ms / 1000 + TOLERANCE_S:
            self._history.add_violation(f"{span.task} started after its cancellation")
        if (
            handle.draining_s
            and span.started_s > handle.draining_s + BOUNDS.drain_ms / 1000 + TOLERANCE_S
        ):
            self._history.add_violation(f"{span.task} started on draining {handle.worker.id}")
        out_s = self._history.zones_out_s.get(handle.worker.zone, math.inf)
        if span.started_s > out_s + BOUNDS.evacuate_ms / 1000 + TOLERANCE_S:
            self._history.add_violation(
                f"{span.task} started in zone {handle.worker.zone}, which is out of service"
            )

    def _check_capacity(self, handle: WorkerHandle, started: RunSpan) -> None:
        """Check that a start fits beside the runs that its worker had at that time.

        A capacity counts until `CAPACITY_GRACE_S` after it has shrunk; for a start that was carried
        out late, when it was sent is not known.
        """
        at_s = started.started_s
        running = [s for s in handle.worker.spans if s.started_s <= at_s < s.ended_s]
        used = Resources()
        for span in running:
            job = self._history.find(span)
            if job is not None:
                used = used.plus(job.request)
        since_s = 0.0 if started.is_delayed else at_s - CAPACITY_GRACE_S
        if not any(used.fits(c) for c in handle.capacities_within(since_s, at_s)):
            tasks = ", ".join(f"{span.task} run {span.run}" for span in running)
            self._history.add_violation(f"{handle.worker.id} is over its capacity: {tasks}")

    def _check_crashes(self, started: RunSpan) -> None:
        """Check that a task which crashes its workers is given up.

        Late starts do not count, nor do those near a crash of many workers: what crashed a worker
        then cannot be told.
        """
        task = started.task
        starts = sum(
            not span.is_delayed and not self._is_near_wave(span.started_s)
            for span in self._runs[_task_key(started)]
        )
        if task in self._fleet.fatal_tasks and starts >= FORBIDDEN_FATAL_STARTS:
            self._history.add_violation(f"{task} has crashed {starts} workers")

    def _is_near_wave(self, at_s: float) -> bool:
        return any(abs(at_s - wave_s) <= WAVE_S for wave_s in self._fleet.crash_waves_s)

    def _record_acknowledged_ends(self, handle: WorkerHandle) -> None:
        for span in handle.worker.spans:
            is_same_incarnation = span.boot_unix_ms == handle.worker.boot_unix_ms
            is_done = (
                span.end_kind is EndKind.DONE and span.end_number <= handle.worker.acknowledged
            )
            if is_same_incarnation and is_done and _task_key(span) not in self._acknowledged_s:
                self._acknowledged_s[_task_key(span)] = time.monotonic()

    def check_responses(self) -> None:
        """Compare responses to clients with all runs; call it once all jobs should have ended."""
        for job in self._history.jobs.values():
            runs = [s for s in self._all_spans() if job.has_run(s)]
            if runs and job.is_refused:
                self._history.add_violation(f"{job.job_id} ran although each attempt was refused")
            may_fail = job.is_fatal or _is_out_of_attempts(runs)
            if job.is_shown_failed and not may_fail:
                self._history.add_violation(
                    f"{job.job_id} was shown as failed, and no task of it has failed so often"
                )
            if not job.accepted_s:
                continue
            if job.cancel_sent_s:
                if any(math.isinf(span.ended_s) for span in runs):
                    self._history.add_violation(f"{job.job_id} still runs after its cancellation")
            elif job.last_state == "failed" and may_fail:
                continue
            elif job.last_state != "completed":
                self._history.add_violation(
                    f"{job.job_id} was accepted and is {job.last_state or 'unknown'}"
                )
            elif not self._is_done(job, runs):
                self._history.add_violation(
                    f"{job.job_id} is reported as completed but has open tasks"
                )

    def check_logs(self) -> None:
        """Report errors that instances did not handle; handled ones are logged as events."""
        for instance in self._fleet.instances:
            for error in instance.unhandled_errors():
                self._history.add_violation(f"{instance.name} did not handle an error: {error}")

    def _is_done(self, job: JobRecord, runs: list[RunSpan]) -> bool:
        done = {span.task for span in runs if span.end_kind is EndKind.DONE}
        return bool(done) if job.is_gang else len(done) == job.count

    def _all_spans(self) -> list[RunSpan]:
        return [span for handle in self._fleet.workers for span in handle.worker.spans]


def _task_key(span: RunSpan) -> tuple[str, str]:
    return (span.task, span.payload)


def _is_out_of_attempts(runs: list[RunSpan]) -> bool:
    failed = {(span.task, span.run) for span in runs if span.end_kind is EndKind.FAILED}
    by_task = Counter(task for task, _ in failed)
    return any(count >= MAX_ATTEMPTS for count in by_task.values())


def _describe(span: RunSpan) -> str:
    ended = "running" if math.isinf(span.ended_s) else f"{span.ended_s:.2f}"
    return f"run {span.run} on {span.worker} {span.started_s:.2f} to {ended}"
