"""Checks of the promises, from what workers, clients and operators see."""

from __future__ import annotations

import math
import time
from collections import Counter

import anyio

from foxtailwell.workflows import EndKind, Resources
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerHandle
from foxtailwell_soak._history import MAX_ATTEMPTS, History, JobRecord
from foxtailwell_standins.platform_worker import RunSpan

__all__ = ["Checker"]

LOOK_S = 0.05
"""Pause between two looks; a run is judged by its own times, so that none is missed."""

TOUCH_S = 0.2
"""Time that a loaded test machine may take between an event and its record."""


class Checker:
    """Looks at runs as they begin and end.

    Args:
        fleet: Workers and processes.
        history: What clients and operators were told.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._seen: dict[str, int] = {}
        self._runs: dict[str, list[RunSpan]] = {}
        self._taken_note_s: dict[str, float] = {}

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.look()
            await anyio.sleep(LOOK_S)

    def look(self) -> None:
        """Check everything that has happened since the last look."""
        for port in self._fleet.workers:
            spans = port.worker.spans
            for span in spans[self._seen.get(port.worker.id, 0) :]:
                self._check_start(port, span)
                self._runs.setdefault(span.task, []).append(span)
            self._seen[port.worker.id] = len(spans)
            self._check_room(port)
            self._note_ends(port)
        for instance in self._fleet.instances:
            if instance.has_exited_unexpectedly():
                self._history.add_violation(f"{instance.name} ended by itself")

    def _check_start(self, port: WorkerHandle, span: RunSpan) -> None:
        job = self._history.jobs.get(span.task.partition(".")[0])
        if job is None or span.payload != job.payload:
            self._history.add_violation(f"{span.task} was never asked for")
            return
        for other in self._runs.get(span.task, ()):
            if other.started_s < span.ended_s and span.started_s < other.ended_s:
                self._history.add_violation(
                    f"{span.task} ran twice at once: {_told(other)} and {_told(span)}"
                )
        done_s = self._taken_note_s.get(span.task, math.inf)
        if span.started_s > done_s + TOUCH_S and not span.is_delayed:
            self._history.add_violation(
                f"{span.task} began again {span.started_s - done_s:.2f} s after done"
            )
        if span.is_delayed:
            return
        cancelled_s = job.cancelled_s or math.inf
        if span.started_s > cancelled_s + BOUNDS.cancel_ms / 1000 + TOUCH_S:
            self._history.add_violation(f"{span.task} began after its cancellation")
        if port.draining_s and span.started_s > port.draining_s + BOUNDS.drain_ms / 1000 + TOUCH_S:
            self._history.add_violation(f"{span.task} began at draining {port.worker.id}")
        out_s = self._history.zones_out_s.get(port.worker.zone, math.inf)
        if span.started_s > out_s + BOUNDS.evacuate_ms / 1000 + TOUCH_S:
            self._history.add_violation(
                f"{span.task} began in zone {port.worker.zone}, which is out"
            )

    def _check_room(self, port: WorkerHandle) -> None:
        used = Resources()
        for task in port.worker.running:
            job = self._history.jobs.get(task.partition(".")[0])
            if job is not None:
                used = used.plus(job.request)
        if not used.fits(port.worker.capacity):
            tasks = ", ".join(f"{task} run {r.run}" for task, r in port.worker.running.items())
            self._history.add_violation(f"{port.worker.id} is over its room: {tasks}")

    def _note_ends(self, port: WorkerHandle) -> None:
        for span in port.worker.spans:
            is_told = span.boot_unix_ms == port.worker.boot_unix_ms
            is_done = span.end_kind is EndKind.DONE and span.end_number <= port.worker.acknowledged
            if is_told and is_done and span.task not in self._taken_note_s:
                self._taken_note_s[span.task] = time.monotonic()

    def check_responses(self) -> None:
        """Check what clients were told against what ran, once everything has ended."""
        for job in self._history.jobs.values():
            runs = [s for s in self._all_spans() if s.task.startswith(f"{job.job_id}.")]
            if runs and job.is_refused:
                self._history.add_violation(f"{job.job_id} ran although each attempt was refused")
            if not job.accepted_s:
                continue
            if job.cancel_sent_s:
                if any(math.isinf(span.ended_s) for span in runs):
                    self._history.add_violation(f"{job.job_id} runs on after its cancellation")
            elif job.last_state == "failed" and _is_out_of_attempts(runs):
                continue
            elif job.last_state != "completed":
                self._history.add_violation(
                    f"{job.job_id} was accepted and is {job.last_state or 'unknown'}"
                )
            elif not self._is_done(job, runs):
                self._history.add_violation(
                    f"{job.job_id} is shown as completed and has open tasks"
                )

    def _is_done(self, job: JobRecord, runs: list[RunSpan]) -> bool:
        done = {span.task for span in runs if span.end_kind is EndKind.DONE}
        return bool(done) if job.is_gang else len(done) == job.count

    def _all_spans(self) -> list[RunSpan]:
        return [span for port in self._fleet.workers for span in port.worker.spans]


def _is_out_of_attempts(runs: list[RunSpan]) -> bool:
    failed = {(span.task, span.run) for span in runs if span.end_kind is EndKind.FAILED}
    by_task = Counter(task for task, _ in failed)
    return any(count >= MAX_ATTEMPTS for count in by_task.values())


def _told(span: RunSpan) -> str:
    ended = "running" if math.isinf(span.ended_s) else f"{span.ended_s:.2f}"
    return f"run {span.run} at {span.worker} {span.started_s:.2f} to {ended}"
