"""The workers as one controller knows them: entries, links, health, and views for placement."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from foxtailwell.adapters.events import (
    ENTRY_REFUSED,
    WORKER_DELISTED,
    WORKER_DRAINING,
    WORKER_QUARANTINED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._links import WorkerLink
from foxtailwell.controller._upkeep import UpkeepAccess
from foxtailwell.controller._watch import Snapshot
from foxtailwell.core import WorkerHealth, quarantine_until_ms
from foxtailwell.workflows import (
    Advisor,
    JobRegistry,
    RunningTask,
    Task,
    TaskState,
    WorkerCalls,
    WorkerEntry,
    WorkerView,
)

__all__ = ["FleetAccess", "Workers"]

PROMPT_S = 1.0
"""Longest pause between two deliveries of worker entries after which their order in time is known.

Heartbeats of all workers arrive several times a second; a longer pause means that the watch or the
store was away.
"""

DEPARTURE_S = 3.0
"""Age of the last report up to which a deleted entry means that the worker left by itself.

Two heartbeats of 1.5 s; the entry of a silent worker lapses only after three.
"""

MEANINGFUL_PERCENT = 10
"""Progress from which the rest of a run is better told by its pace than by its estimate."""

LEAST_REMAINING_SHARE = 0.1
"""Share of the estimate that is taken to be left of a run which has outlived its estimate."""

VIEW_AGE_S = 0.5
"""Age up to which a worker's runs are not looked at again for their elapsed time."""

REFUSAL_PAUSE_S = 1.0
"""Time for which a worker that refused a start gets no further one."""

FAILED_JOBS_BEFORE_QUARANTINE = 2
"""Different jobs that fail in a row at a worker; spells of failures last a few seconds only."""

QUARANTINE_MS = 4000
"""Time until a worker that failed everything is tried again."""


@dataclass(frozen=True, slots=True)
class FleetAccess:
    """How the controller reaches workers and reads their entries.

    Attributes:
        advisor: Says where steps of some queues may run; None where there is no such service.
        upkeep: Waves and machines; None where there is no such interface.
    """

    workers_prefix: str
    decode_entry: Callable[[str, bytes], WorkerEntry | None]
    connect: Callable[[str, str], WorkerCalls]
    advisor: Advisor | None = None
    upkeep: UpkeepAccess | None = None


@dataclass(frozen=True, slots=True)
class _CachedView:
    key: tuple[int, bool, int]
    until_s: float
    view: WorkerView


class Workers:
    """All workers of one term; owned by the controller's main task.

    Args:
        access: How workers are reached and their entries are read.
        book: Jobs, for the runs of each worker.
        make_link: Opens a link to a worker.
        now_s: Local clock that counts suspended time.
        now_unix_ms: Time of day.

    Attributes:
        entries: What each worker last reported.
        links: Links to workers that have had runs in this term.
    """

    def __init__(
        self,
        access: FleetAccess,
        book: JobRegistry,
        make_link: Callable[[WorkerEntry, WorkerCalls], WorkerLink],
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
    ) -> None:
        self._access = access
        self._book = book
        self._make_link = make_link
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self.entries: dict[str, WorkerEntry] = {}
        self.links: dict[str, WorkerLink] = {}
        self._health = WorkerHealth()
        self._quarantined_until_ms: dict[str, int] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._seen_s: dict[str, float] = {}
        self._heard_s = 0.0
        self._departing: set[str] = set()
        self._views: dict[str, _CachedView] = {}

    def apply_entries(self, event: Snapshot) -> None:
        """Take over what workers reported."""
        prefix = self._access.workers_prefix
        seen: set[str] = set()
        now_s = self._now_s()
        is_prompt = now_s - self._heard_s < PROMPT_S
        self._heard_s = now_s
        for change in event.changes:
            worker = change.key[len(prefix) :]
            seen.add(worker)
            if change.value is None:
                gone = self._delist(worker)
                if gone is not None and is_prompt and not event.is_complete:
                    self._apply_departure(gone, now_s)
                continue
            entry = self._access.decode_entry(worker, change.value)
            if entry is None:
                log_event(ENTRY_REFUSED, key=change.key, size_bytes=len(change.value))
                continue
            self._note_change(self.entries.get(worker), entry)
            self.entries[worker] = entry
            self._departing.discard(worker)
            self._seen_s[worker] = now_s
            self._update_link(entry)
        if event.is_complete:
            for worker in self.entries.keys() - seen:
                self._delist(worker)
            self._health.remove_delisted(self.entries)

    def _delist(self, worker: str) -> WorkerEntry | None:
        gone = self.entries.pop(worker, None)
        if gone is not None:
            log_event(WORKER_DELISTED, worker=worker, was_ready=gone.is_ready)
        return gone

    def _note_change(self, known: WorkerEntry | None, entry: WorkerEntry) -> None:
        if not entry.is_ready and (known is None or known.is_ready):
            log_event(WORKER_DRAINING, worker=entry.id, remaining_ms=entry.remaining_ms)

    def _apply_departure(self, entry: WorkerEntry, now_s: float) -> None:
        """Note that a draining worker has left by itself; its runs end with it.

        An entry that lapsed after a silence is no proof: its worker may be cut off and run on.
        """
        heard_s = now_s - self._seen_s.get(entry.id, 0.0)
        if entry.is_ready or heard_s > DEPARTURE_S:
            return
        self._departing.add(entry.id)

    def take_departed(self) -> list[str]:
        """Return the workers that have left and do not answer any more, each once.

        The entry goes a little earlier than the worker, which may still list an end.
        """
        departed = [w for w in self._departing if w not in self.links or self.links[w].is_silent]
        self._departing.difference_update(departed)
        return departed

    def _update_link(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.id)
        if link is None or link.entry.address == entry.address:
            if link is not None:
                if entry.boot_unix_ms > link.boot_unix_ms:
                    link.read_clock(entry.clock_ms, entry.boot_unix_ms)
                link.entry = entry
            return
        link.calls.close()
        link.calls = self._access.connect(entry.id, entry.address)
        link.entry = entry
        if entry.boot_unix_ms != link.boot_unix_ms:
            link.read_clock(entry.clock_ms, entry.boot_unix_ms)

    def link(self, group: TaskGroup, worker: str) -> WorkerLink | None:
        """Return the link to a worker; None when there is neither a link nor an entry."""
        link = self.links.get(worker)
        entry = self.entries.get(worker)
        if link is None and entry is not None:
            link = self._make_link(entry, self._access.connect(entry.id, entry.address))
            link.read_clock(entry.clock_ms, entry.boot_unix_ms)
            self.links[worker] = link
            group.start_soon(link.run)
        return link

    def update_links(self, group: TaskGroup) -> None:
        """Keep a link to every worker that may have runs."""
        wanted = set(self._book.workers_with_tasks())
        for worker in wanted:
            self.link(group, worker)
        for worker, link in self.links.items():
            link.set_wanted(worker in wanted)

    def close(self) -> None:
        """Close all connections."""
        for link in self.links.values():
            link.calls.close()

    def avoid(self, worker: str) -> None:
        """Give a worker that refused a start no further one for a moment."""
        self._avoided_until_s[worker] = self._now_s() + REFUSAL_PAUSE_S

    def record_success(self, worker: str) -> None:
        """Record that a run completed at the worker."""
        self._health.record_success(worker)

    def record_failure(self, worker: str, job_id: str) -> None:
        """Record that a run failed or stood still, and quarantine the worker when it is due."""
        now_unix_ms = self._now_unix_ms()
        self._health.record_failure(worker, job_id, now_unix_ms)
        self._quarantine(worker, now_unix_ms)

    def leaving_within(self, limit_s: float) -> list[str]:
        """Return the draining workers that may leave within the given time."""
        now_s = self._now_s()
        return [
            worker
            for worker, entry in self.entries.items()
            if not entry.is_ready
            and entry.remaining_ms is not None
            and self._seen_s[worker] + entry.remaining_ms / 1000 - now_s <= limit_s
        ]

    def _quarantine(self, worker: str, now_unix_ms: int) -> None:
        failures = self._health.failures().get(worker)
        if failures is None:
            return
        until = quarantine_until_ms(
            failures,
            self._quarantined_until_ms.get(worker),
            now_unix_ms,
            failed_jobs=FAILED_JOBS_BEFORE_QUARANTINE,
            probe_after_ms=QUARANTINE_MS,
        )
        if until is not None:
            self._quarantined_until_ms[worker] = until
            log_event(WORKER_QUARANTINED, worker=worker, jobs=list(failures.job_ids))

    def views(
        self,
        zones_out: frozenset[str],
        cordoned: frozenset[str],
        now_s: float,
        within: frozenset[str],
    ) -> dict[str, WorkerView]:
        """Return all workers as the placement sees them.

        Args:
            zones_out: Zones in which no task may start.
            cordoned: Workers whose machine goes down soon.
            now_s: Local time.
            within: Accounts whose urgent jobs need no more than their guarantee.
        """
        now_unix_ms = self._now_unix_ms()
        views: dict[str, WorkerView] = {}
        failures = self._health.failures()
        for worker, entry in self.entries.items():
            link = self.links.get(worker)
            is_usable = (
                entry.is_ready
                and entry.zone not in zones_out
                and worker not in cordoned
                and not (link and link.is_silent)
                and self._quarantined_until_ms.get(worker, 0) <= now_unix_ms
                and self._avoided_until_s.get(worker, 0.0) <= now_s
            )
            key = (self._book.version_of(worker), is_usable, entry.boot_unix_ms)
            cached = self._views.get(worker)
            if cached is not None and cached.key == key and now_s < cached.until_s:
                views[worker] = cached.view
                continue
            failed = failures.get(worker)
            views[worker] = WorkerView(
                worker,
                entry.pool,
                entry.zone,
                entry.rack,
                entry.labels,
                entry.capacity,
                tuple(self._running(task, now_s, within) for task in self._book.placed_on(worker)),
                is_usable,
                float(len(failed.job_ids)) if failed else 0.0,
            )
            self._views[worker] = _CachedView(key, now_s + VIEW_AGE_S, views[worker])
        return views

    def _running(self, task: Task, now_s: float, within: frozenset[str]) -> RunningTask:
        job = self._book.jobs[task.id.job_id]
        step = job.step(task.id)
        return RunningTask(
            task.id,
            step.request,
            job.queue.priority,
            now_s - task.started_s,
            step.is_checkpointing,
            task.state is TaskState.STOPPING,
            step.count if step.is_gang else 1,
            _remaining_s(task, step.estimate_ms / 1000, now_s - task.started_s),
            job.submission.account not in within,
            step.is_lasting and step.max_unavailable is not None,
            step.is_serving,
            step.is_filling,
        )


def _remaining_s(task: Task, estimate_s: float, elapsed_s: float) -> float:
    """Return the expected time until a run ends, from its progress where that says enough."""
    if task.percent >= MEANINGFUL_PERCENT:
        return elapsed_s * (100 - task.percent) / task.percent
    return max(estimate_s - elapsed_s, estimate_s * LEAST_REMAINING_SHARE)
