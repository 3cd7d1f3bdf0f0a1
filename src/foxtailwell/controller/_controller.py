"""The main task of the controller: events in, durable decisions, orders out."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters.events import (
    JOB_PLACED,
    RUN_STALLED,
    STARTS_REJECTED,
    TASK_RECLAIMED,
    WATCH_FAILED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._commits import Commits, ControllerLostError, JobChange, Rejected
from foxtailwell.controller._links import (
    LinkEvent,
    StartAnswered,
    StopAnswered,
    WorkerLink,
    WorkerListed,
    longest_hold_s,
)
from foxtailwell.controller._maintenance import MachinesListed, Upkeep, UpkeepAnswered, UpkeepEvent
from foxtailwell.controller._records import INTAKE_PREFIX, WAITING_PREFIX
from foxtailwell.controller._runs import RunReports
from foxtailwell.controller._stored_jobs import StoredJobs
from foxtailwell.controller._tickets import AdviceAnswered, Tickets
from foxtailwell.controller._watch import ChangeBatch, follow_prefix
from foxtailwell.controller._workers import FleetAccess, Workers
from foxtailwell.workflows import (
    Change,
    ClusterConfiguration,
    FleetView,
    Item,
    JobRegistry,
    KeyValueStore,
    Placement,
    Queue,
    Reservation,
    StartCommand,
    StoreCallError,
    Task,
    TaskId,
    TaskState,
    WorkerCalls,
    WorkerEntry,
    plan,
)

__all__ = ["Controller", "ControllerLostError", "FleetAccess", "OperatorView"]

PREDECESSOR_HOLD_S = 4.0
"""Time for which a controller without a renewed lease goes on extending the leases of runs.

The leases outlast it by a whole hold, so that runs survive a store outage of 13 s. A successor adds
it to the longest lease before it gives up a worker that it cannot reach.
"""

CONFIGURATION_PAUSE_S = 0.02
"""Pause between two looks for the first configuration; a restart waits for it."""

TICK_S = 0.25
"""Longest pause between two looks at timers; every other event wakes the controller at once."""

SUBMISSION_WAIT_MS = 1000
"""Wait of the watch on submissions, which bounds how long a silent connection goes unnoticed."""

UNSEEN_PAUSE_S = 0.3
"""Pause between two looks for submissions that the watch missed; urgent work has 1 s to spare."""

WAVES_WAIT_MS = 4000
"""Wait of the watch on waves of upkeep, which last for tens of seconds."""

WORKERS_WAIT_MS = 600
"""Wait of the watch on workers: a draining worker must be known well within 2 s."""

WORKERS_PAUSE_S = 0.15
"""Pause between two watches on workers, so that their heartbeats arrive in batches."""

STALL_S = 4.0
"""Time without progress after which a run is moved; the slowest run gains 1 percent in 3 s."""

DRAIN_STOP_S = 0.9
"""Time before a draining worker may leave at which checkpointing tasks are stopped there."""

PLAN_PAUSE_S = 0.2
"""Pause between two plans while no run or job has changed; workers and zones may have."""


@dataclass(frozen=True, slots=True)
class OperatorView:
    """What operators want now, with the revisions that prove it.

    Attributes:
        zones_out: Zones in which no task may start.
        guards: Store conditions under which a start in the given zones is allowed.
        apply_conflict: Takes over what a failed condition showed.
    """

    configuration: ClusterConfiguration
    zones_out: frozenset[str]
    guards: Callable[[frozenset[str]], Mapping[str, int]]
    apply_conflict: Callable[[Mapping[str, Item]], None]


@dataclass(frozen=True, slots=True)
class _IntakeChanges:
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class _Wake:
    pass


_Event = LinkEvent | AdviceAnswered | UpkeepEvent | _IntakeChanges | ChangeBatch | _Wake


@dataclass(slots=True)
class _Pending:
    """What waits for the next transaction."""

    processed: list[tuple[WorkerLink, int, anyio.Event]] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)


class Controller:
    """One term as the controller.

    Args:
        store: The platform's store.
        fleet: Access to workers.
        operators: Returns what operators want now; None while there is no configuration.
        token: Fencing token of this term.
        lease_ms: Lease of runs at workers.
        now_s: Local clock that counts suspended time.
        now_unix_ms: Time of day.
        renewed_s: Returns when the last renewed lease renewal was sent.
        retention_s: Time for which ended jobs stay known.
        metrics: Counts decisions, orders and ends.
    """

    def __init__(
        self,
        store: KeyValueStore,
        fleet: FleetAccess,
        operators: Callable[[], OperatorView | None],
        *,
        token: int,
        lease_ms: int,
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
        renewed_s: Callable[[], float],
        retention_s: float,
        metrics: WorkMetrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._workers_prefix = fleet.workers_prefix
        self._operators = operators
        self._token = token
        self._hold_ms = lease_ms
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._renewed_s = renewed_s
        self._book = JobRegistry()
        self._commits = Commits(store, token, self._check_term)
        self._workers = Workers(fleet, self._book, self._make_link, now_s, now_unix_ms)
        self._jobs = StoredJobs(
            store,
            self._book,
            self._commits,
            self._find_queue,
            retention_s=retention_s,
            now_s=now_s,
            now_unix_ms=now_unix_ms,
            metrics=metrics,
        )
        self._reservations: tuple[Reservation, ...] = ()
        self._planned_version = -1
        self._planned_s = 0.0
        self._pending = _Pending()
        self._is_stopping = False
        self._fenced_by = ""
        self._started_s = now_s()
        send, receive = anyio.create_memory_object_stream[_Event](math.inf)
        self._send, self._receive = send, receive
        self._tickets = Tickets(fleet.advisor, now_s, send)
        self._upkeep = (
            Upkeep(fleet.maintenance, store, token, self._book, renewed_s, now_s, send)
            if fleet.maintenance
            else None
        )
        self._runs = RunReports(
            self._book,
            self._workers,
            self._tickets,
            metrics,
            now_s=now_s,
            now_unix_ms=now_unix_ms,
            first_lapse_s=self._first_lapse_s(),
        )

    @property
    def token(self) -> int:
        """Fencing token of this term."""
        return self._token

    @property
    def waiting_jobs(self) -> int:
        """Jobs that have not ended and none of whose tasks has started."""
        jobs = self._book.jobs.values()
        return sum(not job.has_started and not job.state.is_final for job in jobs)

    def _may_act(self) -> bool:
        return not self._fenced_by and self._now_s() - self._renewed_s() < PREDECESSOR_HOLD_S

    def _on_fenced(self, worker: str) -> None:
        self._fenced_by = worker
        self.wake()

    def _check_term(self) -> None:
        if self._fenced_by:
            raise ControllerLostError(f"worker {self._fenced_by} has seen a newer controller")
        if not self._may_act():
            raise ControllerLostError("the lease was not renewed in time")

    def wake(self) -> None:
        """Look at the operators' view again."""
        self._send.send_nowait(_Wake())

    def stop(self) -> None:
        """Make no further decisions; what is decided is still carried out."""
        self._is_stopping = True
        self.wake()

    async def run(self) -> None:
        """Act as the controller until the term ends or `stop` is called.

        Raises:
            ControllerLostError: Another instance took over.
            StoreCallError: The records could not be read.
        """
        await self._await_configuration()
        intake = await self._jobs.load(self._token)
        workers_prefix = self._workers_prefix
        workers, revision = await self._store.list_items(workers_prefix)
        entries = tuple(Change(item.key, item.value, item.revision) for item in workers)
        self._workers.apply_entries(ChangeBatch(entries, is_snapshot=True))
        async with anyio.create_task_group() as group:
            group.start_soon(
                follow_prefix,
                self._store,
                INTAKE_PREFIX,
                intake,
                SUBMISSION_WAIT_MS,
                0.0,
                self._on_intake,
            )
            group.start_soon(
                follow_prefix,
                self._store,
                workers_prefix,
                revision,
                WORKERS_WAIT_MS,
                WORKERS_PAUSE_S,
                self._on_workers,
            )
            group.start_soon(self._tickets.run)
            group.start_soon(self._look_for_unseen)
            if self._upkeep is not None:
                group.start_soon(self._upkeep.run)
                group.start_soon(
                    follow_prefix,
                    self._store,
                    self._upkeep.waves_prefix,
                    None,
                    WAVES_WAIT_MS,
                    0.0,
                    self._upkeep.on_waves,
                )
            try:
                await self._loop(group)
            finally:
                group.cancel_scope.cancel()
                self._workers.close()

    async def _on_intake(self, changes: ChangeBatch) -> None:
        await self._send.send(_IntakeChanges(changes.changes))

    async def _look_for_unseen(self) -> None:
        """Find submissions while the watch reports nothing, as when the store drops its history."""
        while True:
            await anyio.sleep(UNSEEN_PAUSE_S)
            try:
                changes = await self._jobs.find_unseen()
            except StoreCallError as failure:
                log_event(WATCH_FAILED, prefix=WAITING_PREFIX, reason=failure.reason)
                continue
            if changes:
                await self._send.send(_IntakeChanges(changes))

    async def _on_workers(self, changes: ChangeBatch) -> None:
        await self._send.send(changes)

    async def _await_configuration(self) -> None:
        """Wait until the attempts and priorities of queues are known."""
        while self._operators() is None:
            self._check_term()
            if self._is_stopping:
                return
            await anyio.sleep(CONFIGURATION_PAUSE_S)

    def _find_queue(self, name: str) -> Queue | None:
        view = self._operators()
        return view.configuration.queues.get(name) if view else None

    def _make_link(self, entry: WorkerEntry, calls: WorkerCalls) -> WorkerLink:
        return WorkerLink(
            entry=entry,
            calls=calls,
            token=self._token,
            lease_ms=self._hold_ms,
            now_s=self._now_s,
            may_hold=self._may_act,
            on_fenced=self._on_fenced,
            events=self._send,
            granted_until_s=self._first_lapse_s(),
        )

    def _first_lapse_s(self) -> float:
        return self._started_s + PREDECESSOR_HOLD_S + longest_hold_s(self._hold_ms)

    async def _loop(self, group: TaskGroup) -> None:
        while True:
            self._workers.update_links(group)
            self._plan_starts()
            self._send_stops(group)
            await self._flush(group)
            if self._is_stopping:
                return
            await self._next_events()
            self._check_term()

    async def _next_events(self) -> None:
        with anyio.move_on_after(self._pause_s()):
            self._apply(await self._receive.receive())
        while True:
            try:
                self._apply(self._receive.receive_nowait())
            except anyio.WouldBlock:
                break
        self._runs.release_lapsed()
        self._runs.release_departed()
        await self._jobs.delete_old_records()

    def _pause_s(self) -> float:
        due = self._book.next_due_unix_ms(self._now_unix_ms())
        return TICK_S if due is None else min(TICK_S, (due - self._now_unix_ms()) / 1000 + 0.001)

    def _apply(self, event: _Event) -> None:
        match event:
            case _IntakeChanges():
                for change in event.changes:
                    self._jobs.apply(change, {})
            case ChangeBatch():
                self._workers.apply_entries(event)
            case WorkerListed():
                highest = self._runs.apply_listing(event)
                link = self._workers.links[event.worker]
                self._pending.processed.append((link, highest, event.processed))
            case StartAnswered():
                self._runs.apply_start(event)
            case StopAnswered():
                self._runs.apply_stop(event)
            case AdviceAnswered():
                self._tickets.apply(event)
                self._planned_s = 0.0
            case MachinesListed() | UpkeepAnswered():
                if self._upkeep is not None:
                    self._upkeep.apply(event)
            case _Wake():
                self._planned_s = 0.0

    # Decisions

    def _plan_starts(self) -> None:
        for task in self._book.stale_runs():
            self._book.mark_stopping(task)
        view = self._operators()
        if view is None or self._is_stopping:
            return
        now_s = self._now_s()
        is_same = self._planned_version == self._book.version
        if is_same and now_s - self._planned_s < PLAN_PAUSE_S:
            return
        self._refresh_queues(view.configuration)
        self._leave_draining_workers()
        self._stop_stalled_runs(now_s)
        for task in self._upkeep.decide() if self._upkeep else ():
            self._book.mark_stopping(task)
        within = self._book.accounts_within_guarantee(view.configuration.guaranteed_accelerators)
        units = self._book.ready_units(now_s, self._now_unix_ms(), within)
        if not units and not self._reservations:
            return
        units = self._tickets.admit(units, self._workers.entries)
        cordoned = self._upkeep.cordoned() if self._upkeep else frozenset()
        workers = self._workers.views(view.zones_out, cordoned, now_s, within)
        fleet = FleetView(now_s, workers, units, self._reservations)
        decided = plan(fleet)
        self._reservations = decided.reservations
        self._planned_version, self._planned_s = self._book.version, now_s
        for victim in decided.stops:
            self._reclaim(victim)
        for placement in decided.placements:
            self._assign(placement, now_s)
        placed = {placement.unit.key for placement in decided.placements}
        self._tickets.ask((u for u in units if u.key not in placed), self._workers.entries)

    def _leave_draining_workers(self) -> None:
        """Stop tasks that save their work, shortly before their worker may leave."""
        for worker in self._workers.leaving_within(DRAIN_STOP_S):
            for task in self._book.placed_on(worker):
                if self._book.jobs[task.id.job_id].step(task.id).is_checkpointing:
                    self._book.mark_stopping(task)

    def _stop_stalled_runs(self, now_s: float) -> None:
        for task in self._book.stalled_runs(now_s, STALL_S):
            link = self._workers.links.get(task.worker)
            if link is None or link.is_silent:
                continue
            log_event(RUN_STALLED, job=task.id.job_id, task=str(task.id), worker=task.worker)
            self._workers.record_failure(task.worker, task.id.job_id)
            self._book.mark_stopping(task)

    def _refresh_queues(self, configuration: ClusterConfiguration) -> None:
        for job in self._book.jobs.values():
            queue = configuration.queues.get(job.submission.queue)
            if queue is not None:
                job.queue = queue

    def _reclaim(self, victim: TaskId) -> None:
        task = self._book.find(victim)
        if task is not None:
            log_event(TASK_RECLAIMED, job=victim.job_id, task=str(victim), worker=task.worker)
            self._book.mark_stopping(task)

    def _assign(self, placement: Placement, now_s: float) -> None:
        unit = placement.unit
        run = self._book.next_run(unit)
        for task_id, worker in placement.workers.items():
            task = self._book.find(task_id)
            if task is not None:
                task.start_settled_s = math.inf
                task.stopped_s = 0.0
                boot = self._workers.entries[worker].boot_unix_ms
                self._book.assign(task, worker, boot, run, now_s)
        self._pending.placements.append(placement)

    # Effects

    def _send_stops(self, group: TaskGroup) -> None:
        for worker in self._book.workers_with_tasks():
            link = self._workers.link(group, worker)
            for task in self._book.placed_on(worker) if link else ():
                if link and task.state is TaskState.STOPPING and task.stopped_s <= 0:
                    link.stop(group, task.id, task.run)
        for worker, task_id, run in self._runs.take_strays():
            link = self._workers.links.get(worker)
            if link is not None:
                link.stop(group, task_id, run)

    async def _flush(self, group: TaskGroup) -> None:
        pending, self._pending = self._pending, _Pending()
        zones: dict[str, set[str]] = {}
        for placement in pending.placements:
            used = zones.setdefault(placement.unit.job_id, set())
            used |= {self._workers.entries[w].zone for w in placement.workers.values()}
        changes = [
            JobChange(self._book.jobs[job_id], job_id in zones, frozenset(zones.get(job_id, ())))
            for job_id in self._book.changed
            if job_id in self._book.jobs
        ]
        self._book.changed.clear()
        rejected: list[Rejected] = []
        if changes:
            began_s = self._now_s()
            rejected = await self._commits.store(changes, self._guards)
            self._metrics.observe_s("commit", self._now_s() - began_s)
        blocked = {job_id for answer in rejected for job_id in answer.jobs}
        for answer in rejected:
            self._undo(answer, pending)
        for link, highest, processed in pending.processed:
            if not blocked:
                link.acknowledged = max(link.acknowledged, highest)
            processed.set()
        self._send_starts(group, [p for p in pending.placements if p.unit.job_id not in blocked])
        stored = [c.job for c in changes if c.job.submission.job_id not in blocked]
        forgotten = self._jobs.forget_ended(stored)
        self._tickets.forget_jobs(job.submission.job_id for job in forgotten)
        if rejected:
            self.wake()

    def _guards(self, zones: frozenset[str]) -> Mapping[str, int]:
        view = self._operators()
        return view.guards(zones) if view else {}

    def _undo(self, answer: Rejected, pending: _Pending) -> None:
        log_event(
            STARTS_REJECTED,
            jobs=list(answer.jobs),
            cancelled=list(answer.cancelled),
            changed=sorted(answer.operator_items),
        )
        view = self._operators()
        if view is not None:
            view.apply_conflict(answer.operator_items)
        for placement in pending.placements:
            if placement.unit.job_id in answer.jobs:
                for task_id in placement.workers:
                    task = self._book.find(task_id)
                    if task is not None:
                        self._book.requeue(task)
        for job_id in answer.cancelled:
            self._commits.cancel_marks.add(job_id)
            self._book.cancel(job_id, self._now_unix_ms())
        self._book.changed.update(j for j in answer.jobs if j in self._book.jobs)

    def _send_starts(self, group: TaskGroup, placements: list[Placement]) -> None:
        for placement in placements:
            unit = placement.unit
            job = self._book.jobs[unit.job_id]
            checkpoint = _common_checkpoint(job.tasks, unit.tasks) if unit.step.is_gang else ""
            log_event(
                JOB_PLACED,
                job=unit.job_id,
                step=unit.step_number,
                waited_s=round(self._now_s() - unit.waiting_since_s, 3),
                workers=sorted(set(placement.workers.values())),
            )
            for task_id, worker in placement.workers.items():
                task = job.tasks[task_id]
                link = self._workers.link(group, worker)
                if task.state is not TaskState.ASSIGNED or link is None:
                    continue
                saved = checkpoint if unit.step.is_gang else task.checkpoint
                link.set_wanted(True)
                ticket = self._tickets.ticket(unit.key, worker)
                payload = job.submission.payload
                link.start(group, StartCommand(task_id, task.run, payload, saved, ticket))


def _common_checkpoint(tasks: Mapping[TaskId, Task], members: tuple[TaskId, ...]) -> str:
    """Return one checkpoint for all members; each member's is valid for the gang."""
    return max(tasks[member].checkpoint for member in members)
