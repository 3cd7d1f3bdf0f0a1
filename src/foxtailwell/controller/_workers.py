"""Workers as the controller knows them: entries, links, health, and views for the planner.

The classes belong to the workflows model.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from anyio.abc import TaskGroup

from foxtailwell.adapters.events import (
    ENTRY_LATE,
    ENTRY_REFUSED,
    RUN_NOT_STOPPING,
    WORKER_DELISTED,
    WORKER_DRAINING,
    WORKER_QUARANTINED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._links import StartFinished, StopConfirmed, WorkerLink
from foxtailwell.controller._maintenance import MaintenanceAccess
from foxtailwell.controller._watch import ChangeBatch
from foxtailwell.core import WorkerHealth, quarantine_until_ms
from foxtailwell.workflows import (
    Advisor,
    JobRegistry,
    Obstacle,
    Resources,
    RunningTask,
    Step,
    Task,
    TaskId,
    TaskState,
    WorkerCalls,
    WorkerEntry,
    WorkerView,
)

__all__ = ["FleetAccess", "Workers"]

MAX_UPDATE_GAP_S = 1.0
"""Longest gap between two deliveries of worker entries without a suspected outage.

Heartbeats of all workers arrive several times a second; after a longer gap the watch or the store
was unavailable, and the times of deletions are unknown.
"""

MAX_REPORT_AGE_HEARTBEATS = 2
"""Age of the last report up to which a deleted entry means that the worker has shut down.

The entry of an unresponsive worker expires only after three heartbeats.
"""

MAX_APPARENT_AGE_HEARTBEATS = 0.35
"""Age at which an entry appears in the store, from which the worker's clock is read again."""

CLOCK_STEP_S = 0.002
"""Rounding of the difference of two readings of a worker's clock, which counts milliseconds."""

MIN_USABLE_REPORT_HEARTBEATS = 1.5
"""Age of a report, in heartbeats, up to which its worker may get starts even without a grace."""

MIN_PACE_PERCENT = 10
"""Progress from which the remaining time is extrapolated from it, not taken from the estimate."""

MIN_REMAINING_SHARE = 0.1
"""Share of the estimate that is assumed to remain of a run which exceeds its estimate."""

VIEW_CACHE_S = 0.5
"""Time for which the cached view of an unchanged worker is reused with its old elapsed times."""

START_ALLOWANCE_S = 1.0
"""Time that must remain at a plan for its starts to be stored and sent, repeatedly if need be."""

DELIVERY_MARGIN_S = 1.0
"""Time that a start may take to reach its worker after it was found to be in time."""

LATE_START_S = 12.0
"""Time within which the platform may still deliver a start that got no response."""

STOP_LIMIT_S = 10.0
"""Time after which a run that is not stopped is left to the end of its worker's lease.

That ends the other runs of the worker too, so a passing fault must not be enough.
"""

LONG_SILENCE_S = 2.0
"""Silence that is not due to a lost response; listings go on arriving beside it."""

REFUSAL_BACKOFF_S = 1.0
"""Time without further starts for a worker after a failed start."""

FAILED_JOBS_BEFORE_QUARANTINE = 2
"""Number of different jobs in a row that fail on a worker; faults last only a few seconds."""

QUARANTINE_MS = 4000
"""Duration of a quarantine, after which the worker is probed with new starts."""


@dataclass(frozen=True, slots=True)
class FleetAccess:
    """Access to the workers, the advisor and the machines of the platform.

    Attributes:
        workers_prefix: Prefix of the store keys of worker entries.
        decode_entry: Decodes an entry, given the worker's identifier and the stored value; returns
            None if it is malformed.
        connect: Opens the calls to a worker, given its identifier and address.
        advisor: Issues tickets for queues with advice; None if the platform has no such service.
        maintenance: Waves and machines; None if the platform has no such interface.
        heartbeat_s: Interval of the heartbeats of a worker.
        capacity_grace_s: Time for which a worker tolerates starts that exceed its capacity after
            that has shrunk.
        reclaim_s: Time within which urgent jobs get the accelerators that their account is
            guaranteed.
        stop_timeout_s: Time that a worker needs at most to stop a run.
    """

    workers_prefix: str
    decode_entry: Callable[[str, bytes], WorkerEntry | None]
    connect: Callable[[str, str], WorkerCalls]
    advisor: Advisor | None = None
    maintenance: MaintenanceAccess | None = None
    heartbeat_s: float = 1.5
    capacity_grace_s: float = math.inf
    reclaim_s: float = 3.0
    stop_timeout_s: float = 0.5


@dataclass(frozen=True, slots=True)
class _CachedView:
    key: tuple[int, Obstacle | None, bool, int, Resources]
    until_s: float
    view: WorkerView


class Workers:
    """All workers of one term; used only by the controller's main task.

    Args:
        access: Access to workers and their entries.
        registry: Unfinished jobs, for the runs of each worker.
        make_link: Creates the link to a worker.
        now_s: Local clock that also advances while the machine is suspended.

    Attributes:
        entries: Last reported entries of the listed workers, by identifier.
        links: Links to the workers that have had runs in this term, also after their removal.
    """

    def __init__(
        self,
        access: FleetAccess,
        registry: JobRegistry,
        make_link: Callable[[WorkerEntry, WorkerCalls], WorkerLink],
        now_s: Callable[[], float],
    ) -> None:
        self._access = access
        self._registry = registry
        self._make_link = make_link
        self._now_s = now_s
        self.entries: dict[str, WorkerEntry] = {}
        self.links: dict[str, WorkerLink] = {}
        self._health = WorkerHealth()
        self._quarantined_until_ms: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._reported_s: dict[str, float] = {}
        # Workers whose clocks are to be read, because their entries are old or cannot be dated.
        self._undated: set[str] = set()
        self._last_update_s = 0.0
        self._removal_candidates: set[str] = set()
        # Worker with the newest entry by address, and when others have lost their addresses.
        self._worker_at: dict[str, str] = {}
        self._replaced_s: dict[str, float] = {}
        # Incarnation, by worker, that has announced its end last.
        self._announced_boots: dict[str, int] = {}
        self._unanswered_starts: dict[str, list[StartFinished]] = {}
        # Task, run and the incarnation that rejects its late start.
        self._barred_starts: set[tuple[TaskId, int, int]] = set()
        self._views: dict[str, _CachedView] = {}

    def apply_entries(self, event: ChangeBatch) -> None:
        """Apply reported and deleted worker entries, from changes or a listing."""
        prefix = self._access.workers_prefix
        seen: set[str] = set()
        now_s = self._now_s()
        is_continuous = now_s - self._last_update_s < MAX_UPDATE_GAP_S
        self._last_update_s = now_s
        for change in event.changes:
            worker = change.key[len(prefix) :]
            seen.add(worker)
            if change.value is None:
                delisted = self._delist(worker)
                if delisted is not None and is_continuous and not event.is_snapshot:
                    self._note_removal(delisted, now_s)
                continue
            entry = self._access.decode_entry(worker, change.value)
            if entry is None:
                log_event(ENTRY_REFUSED, key=change.key, size_bytes=len(change.value))
                continue
            known = self.entries.get(worker)
            if self._is_out_of_order(entry):
                continue
            self._note_change(known, entry)
            self._note_address(entry, now_s)
            self.entries[worker] = entry
            self._removal_candidates.discard(worker)
            self._reported_s[worker] = now_s
            self._update_link(entry)
            if entry != known:
                self._check_age(entry)
            link = self.links.get(worker)
            if link is not None:
                link.record_life(entry.boot_unix_ms, self._stated_s(entry))
        if event.is_snapshot:
            for worker in self.entries.keys() - seen:
                self._delist(worker)
            self._health.remove_delisted(self.entries)

    def _check_age(self, entry: WorkerEntry) -> None:
        """Have the worker's clock read if that may show a new entry to be more recent."""
        link = self.links.get(entry.id)
        if link and link.reading and link.reading.boot_unix_ms != entry.boot_unix_ms:
            # The worker may have restarted since, or the entry is one from before its restart.
            link.reading = None
        reading = link.reading if link else None
        if reading is None:
            self._undated.add(entry.id)
            return
        reported_s = self._reported_s[entry.id]
        least_age_s = reported_s - reading.latest_s(entry.clock_ms)
        limit_s = MAX_APPARENT_AGE_HEARTBEATS * self._access.heartbeat_s
        if least_age_s <= limit_s < reported_s - self._stated_s(entry):
            self._undated.add(entry.id)
        if least_age_s > self._access.heartbeat_s:
            log_event(ENTRY_LATE, worker=entry.id, age_s=round(least_age_s, 2))

    def _stated_s(self, entry: WorkerEntry) -> float:
        """Return the earliest local time at which a worker can have written its entry.

        The time at which an entry appears in the store does not tell: a worker that was cut off
        sends what it wrote before. Minus infinity if the entry is not one of the incarnation that
        responded last. That is so, too, if it seems to be of the future.
        """
        link = self.links.get(entry.id)
        reading = link.reading if link else None
        if reading is None or reading.boot_unix_ms != entry.boot_unix_ms:
            return -math.inf
        stated_s = reading.earliest_s(entry.clock_ms)
        return stated_s if stated_s <= self._reported_s[entry.id] + CLOCK_STEP_S else -math.inf

    def _is_out_of_order(self, entry: WorkerEntry) -> bool:
        """Return whether an entry was written before the one that is known."""
        known = self.entries.get(entry.id)
        return (
            known is not None
            and known.boot_unix_ms == entry.boot_unix_ms
            and known.clock_ms > entry.clock_ms
            and math.isfinite(self._stated_s(known))
        )

    def start_until_s(self, worker: str) -> float:
        """Return the local time until which a start may rely on the reported capacity."""
        entry = self.entries.get(worker)
        stated_s = self._stated_s(entry) if entry else -math.inf
        if stated_s == -math.inf:
            return stated_s
        return stated_s + max(
            self._access.capacity_grace_s - DELIVERY_MARGIN_S,
            MIN_USABLE_REPORT_HEARTBEATS * self._access.heartbeat_s + START_ALLOWANCE_S,
        )

    def _delist(self, worker: str) -> WorkerEntry | None:
        delisted = self.entries.pop(worker, None)
        if delisted is not None:
            log_event(WORKER_DELISTED, worker=worker, was_ready=delisted.is_ready)
        return delisted

    def _note_change(self, known: WorkerEntry | None, entry: WorkerEntry) -> None:
        if not entry.is_ready:
            self._announced_boots[entry.id] = entry.boot_unix_ms
            if known is None or known.is_ready:
                log_event(WORKER_DRAINING, worker=entry.id, remaining_ms=entry.remaining_ms)

    def _note_address(self, entry: WorkerEntry, now_s: float) -> None:
        former = self._worker_at.get(entry.address)
        if former == entry.id:
            return
        self._worker_at[entry.address] = entry.id
        known = self.entries.get(former) if former is not None else None
        if known is not None and known.is_ready and known.address == entry.address:
            self._replaced_s[known.id] = now_s

    def replaced_s(self, worker: str) -> float | None:
        """Return when another worker got the address of one that had announced no end."""
        return self._replaced_s.get(worker)

    def has_announced_end(self, worker: str, boot_unix_ms: int) -> bool:
        """Return whether an incarnation of a worker has announced that it will shut down."""
        return self._announced_boots.get(worker) == boot_unix_ms

    def _note_removal(self, entry: WorkerEntry, now_s: float) -> None:
        """Record that a draining worker has shut down, which ends its runs.

        An entry that expired after missed heartbeats proves nothing: the worker may be disconnected
        and still run its tasks.
        """
        report_age_s = now_s - self._stated_s(entry)
        if entry.is_ready or report_age_s > MAX_REPORT_AGE_HEARTBEATS * self._access.heartbeat_s:
            return
        self._removal_candidates.add(entry.id)

    def take_removed(self) -> list[str]:
        """Return the removed workers that no longer respond, each once.

        An entry is deleted shortly before its worker shuts down, which may still list an end.
        """
        removed = [
            w
            for w in self._removal_candidates
            if w not in self.links or self.links[w].is_unresponsive
        ]
        self._removal_candidates.difference_update(removed)
        return removed

    def _update_link(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.id)
        if link is None or link.entry.address == entry.address:
            if link is not None:
                if entry.boot_unix_ms > link.boot_unix_ms:
                    link.update_clock(entry.clock_ms, entry.boot_unix_ms)
                link.entry = entry
            return
        link.calls.close()
        link.calls = self._access.connect(entry.id, entry.address)
        link.entry = entry
        if entry.boot_unix_ms != link.boot_unix_ms:
            link.update_clock(entry.clock_ms, entry.boot_unix_ms)

    def link(self, group: TaskGroup, worker: str) -> WorkerLink | None:
        """Return the link to a worker; None when there is neither a link nor an entry."""
        link = self.links.get(worker)
        entry = self.entries.get(worker)
        if link is None and entry is not None:
            link = self._make_link(entry, self._access.connect(entry.id, entry.address))
            link.update_clock(entry.clock_ms, entry.boot_unix_ms)
            self.links[worker] = link
            group.start_soon(link.run)
        return link

    def update_links(self, group: TaskGroup) -> None:
        """Open a link to every worker that may have runs, and renew leases only on these.

        Other listed workers are probed while they are unresponsive, or to date their entries.
        """
        undated, self._undated = self._undated, set()
        for worker in undated:
            link = self.link(group, worker)
            if link is not None:
                link.request_reading()
        occupied = set(self._registry.workers_with_tasks())
        for worker in occupied:
            self.link(group, worker)
        for worker, link in self.links.items():
            link.is_listed = worker in self.entries
            link.set_may_have_runs(worker in occupied)
            self._update_lapsing(link)

    def _update_lapsing(self, link: WorkerLink) -> None:
        """Stop renewing the lease of a worker that does not stop a run, however often it is asked.

        The time counts from the end of the last long silence, in which no stop can have arrived.
        While ends of the worker are yet to be listed, those of the runs may be among them.
        """
        stopping = [
            task
            for task in self._registry.placed_on(link.entry.id)
            if task.state is TaskState.STOPPING
        ]
        if not stopping:
            link.is_lapsing = False
            return
        now_s = self._now_s()
        for task in stopping:
            task.stopping_since_s = task.stopping_since_s or now_s
        has_been_silent = link.silence_s() >= LONG_SILENCE_S
        since_s = link.responsive_since_s if has_been_silent else -math.inf
        overdue = [t for t in stopping if now_s - max(t.stopping_since_s, since_s) >= STOP_LIMIT_S]
        is_silent = link.is_unresponsive and has_been_silent
        is_lapsing = bool(overdue) and not (is_silent or link.has_unlisted_ends)
        if is_lapsing and not link.is_lapsing:
            log_event(RUN_NOT_STOPPING, worker=link.entry.id, tasks=[str(t.id) for t in overdue])
        link.is_lapsing = is_lapsing

    def close(self) -> None:
        """Close the connections to all workers."""
        for link in self.links.values():
            link.calls.close()

    def back_off(self, worker: str) -> None:
        """Exclude a worker from starts for `REFUSAL_BACKOFF_S` after a failed start."""
        self._backoff_until_s[worker] = self._now_s() + REFUSAL_BACKOFF_S

    def record_unanswered_start(self, event: StartFinished) -> None:
        """Record that a start may still be delivered, after a restart of the worker as well."""
        self._unanswered_starts.setdefault(event.worker, []).append(event)

    def late_starts(self, worker: str, boot_unix_ms: int) -> list[StartFinished]:
        """Return the starts that may yet reach an incarnation which would carry them out.

        It knows of no stop and no run before, and its clock starts anew, so that no deadline keeps
        a start from it.
        """
        now_s = self._now_s()
        return [
            start
            for start in self._unanswered_starts.get(worker, ())
            if start.boot_unix_ms != boot_unix_ms
            and now_s - start.settled_s < LATE_START_S
            and (start.task, start.run, boot_unix_ms) not in self._barred_starts
        ]

    def record_stop(self, event: StopConfirmed) -> None:
        """Record that an incarnation rejects the late start of a run, which it has stopped."""
        for start in self._unanswered_starts.get(event.worker, ()):
            if (str(start.task), start.run) == (str(event.task), event.run):
                self._barred_starts.add((start.task, start.run, event.boot_unix_ms))

    def _capacity(self, entry: WorkerEntry, now_s: float) -> Resources:
        """Return the capacity of a worker without the room that late starts may take.

        A worker rejects the late start of a run that it has stopped or that has ended there, but
        another incarnation under the same identifier does so only once it has got the stop itself.
        """
        capacity = entry.capacity
        starts = self._unanswered_starts.get(entry.id)
        if starts is None:
            return capacity
        expired = [start for start in starts if now_s - start.settled_s >= LATE_START_S]
        if expired:
            runs = {(start.task, start.run) for start in expired}
            self._barred_starts = {b for b in self._barred_starts if b[:2] not in runs}
            starts[:] = [start for start in starts if start not in expired]
        if not starts:
            del self._unanswered_starts[entry.id]
        link = self.links.get(entry.id)
        boot_unix_ms = link.boot_unix_ms if link else entry.boot_unix_ms
        for start in self.late_starts(entry.id, boot_unix_ms):
            capacity = capacity.minus(start.request)
        return capacity

    def record_success(self, worker: str) -> None:
        """Record a completed run, which resets the worker's series of failures."""
        self._health.record_success(worker)

    def record_failure(self, worker: str, job_id: str) -> None:
        """Record a failed or stalled run, and quarantine the worker after too many of them."""
        self._health.record_failure(worker, job_id, self._now_ms())
        self._quarantine(worker)

    def draining(self) -> dict[str, float]:
        """Return the seconds until each draining worker may shut down, if it announces its end.

        The notice of another incarnation than the one that has the runs says nothing of them.
        """
        now_s = self._now_s()
        return {
            worker: stated_s + entry.remaining_ms / 1000 - now_s
            for worker, entry in self.entries.items()
            if not entry.is_ready
            and entry.remaining_ms is not None
            and math.isfinite(stated_s := self._stated_s(entry))
        }

    def ending_runs(self, worker: str, now_s: float) -> list[RunningTask]:
        """Return the runs on a worker that end by themselves or have checkpoints."""
        tasks = [
            (task, self._registry.jobs[task.id.job_id].step(task.id))
            for task in self._registry.placed_on(worker)
        ]
        return [
            self._running(task, now_s, frozenset())
            for task, step in tasks
            if not step.is_lasting or step.is_checkpointing
        ]

    def _now_ms(self) -> int:
        # Quarantines end by the local clock: the time of day may be set back.
        return int(self._now_s() * 1000)

    def _quarantine(self, worker: str) -> None:
        failures = self._health.failures().get(worker)
        if failures is None:
            return
        until = quarantine_until_ms(
            failures,
            self._quarantined_until_ms.get(worker),
            self._now_ms(),
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
        within_guarantee: frozenset[str],
    ) -> dict[str, WorkerView]:
        """Return all listed workers as input of the planner, by identifier.

        Args:
            zones_out: Availability zones in which no task may start.
            cordoned: Workers whose machines are about to go down for maintenance.
            now_s: Local time.
            within_guarantee: Accounts whose urgent jobs fit into their guarantee.
        """
        views: dict[str, WorkerView] = {}
        failures = self._health.failures()
        for worker, entry in self.entries.items():
            placed = self._registry.placed_on(worker)
            obstacle = (
                Obstacle.ZONE_OUT
                if entry.zone in zones_out
                else Obstacle.CORDONED
                if worker in cordoned
                else self._obstacle(entry, placed, now_s)
            )
            version = self._registry.version_of(worker)
            has_suspect = any(task.is_on_probation for task in placed)
            capacity = self._capacity(entry, now_s)
            key = (version, obstacle, has_suspect, entry.boot_unix_ms, capacity)
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
                capacity,
                tuple(self._running(task, now_s, within_guarantee) for task in placed),
                obstacle,
                float(len(failed.job_ids)) if failed else 0.0,
                has_suspect,
            )
            self._views[worker] = _CachedView(key, now_s + VIEW_CACHE_S, views[worker])
        return views

    def _obstacle(
        self, entry: WorkerEntry, placed: Sequence[Task], now_s: float
    ) -> Obstacle | None:
        """Return why no task may start on a worker; None if tasks may."""
        worker = entry.id
        link = self.links.get(worker)
        if not entry.is_ready:
            return Obstacle.DRAINING
        if now_s + START_ALLOWANCE_S >= self.start_until_s(worker):
            return Obstacle.OLD_REPORT
        if link and link.is_unresponsive:
            return Obstacle.UNRESPONSIVE
        if link and link.is_lapsing:
            return Obstacle.NOT_STOPPING
        if link and link.is_avoided:
            return Obstacle.IN_DOUBT
        if self._quarantined_until_ms.get(worker, 0) > now_s * 1000:
            return Obstacle.QUARANTINED
        if self._backoff_until_s.get(worker, 0.0) > now_s:
            return Obstacle.BACKING_OFF
        if any(task.is_kept_alone for task in placed):
            return Obstacle.KEPT_ALONE
        return None

    def _running(self, task: Task, now_s: float, within_guarantee: frozenset[str]) -> RunningTask:
        job = self._registry.jobs[task.id.job_id]
        step = job.step(task.id)
        return RunningTask(
            task.id,
            step.request,
            job.queue.priority,
            now_s - task.started_s,
            step.is_checkpointing,
            task.state is TaskState.STOPPING,
            step.count if step.is_gang else 1,
            _remaining_s(task, step, now_s - task.started_s),
            job.submission.account not in within_guarantee,
            step.is_lasting and step.max_unavailable is not None,
            step.is_serving,
            step.is_filling,
        )


def _remaining_s(task: Task, step: Step, elapsed_s: float) -> float:
    """Return the expected seconds until a run ends, from its progress if that is large enough."""
    if step.is_lasting:
        return math.inf
    estimate_s = step.estimate_ms / 1000
    if task.percent >= MIN_PACE_PERCENT:
        return elapsed_s * (100 - task.percent) / task.percent
    return max(estimate_s - elapsed_s, estimate_s * MIN_REMAINING_SHARE)
