"""Main loop of the elected controller.

It applies events of workers, the store and timers, plans starts and stops, stores the changed jobs,
and only then sends start commands. The classes belong to the workflows model.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from foxtailwell.adapters.events import (
    JOB_PLACED,
    RESERVATION_ENDED,
    RUN_LEAVES_WORKER,
    RUN_STALLED,
    STARTS_OUTDATED,
    STARTS_REJECTED,
    TASK_RECLAIMED,
    WATCH_FAILED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._commits import (
    Commits,
    ControllerLostError,
    JobChange,
    RejectedTransaction,
)
from foxtailwell.controller._links import (
    IncarnationReplaced,
    LinkEvent,
    ListingReceived,
    StartFinished,
    StopConfirmed,
    WorkerLink,
    max_lease_s,
)
from foxtailwell.controller._maintenance import (
    MachinesListed,
    MaintenanceCommandFinished,
    MaintenanceCoordinator,
    MaintenanceEvent,
)
from foxtailwell.controller._records import INTAKE_PREFIX, WAITING_PREFIX
from foxtailwell.controller._runs import RunReports
from foxtailwell.controller._stored_jobs import StoredJobs
from foxtailwell.controller._tickets import AdviceReceived, Tickets
from foxtailwell.controller._waits import WaitLog
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
    Plan,
    Queue,
    Reservation,
    SchedulingUnit,
    StartCommand,
    StopReason,
    StoreCallError,
    Task,
    TaskId,
    TaskState,
    UnitKey,
    WorkerCalls,
    WorkerEntry,
    plan,
    reservation_limit_s,
    runs_to_stop,
)

__all__ = ["Controller", "ControllerLostError", "FleetAccess", "OperatorView"]

RENEWAL_GRACE_S = 4.0
"""Time after the last renewal of its own lease for which a controller keeps sending commands.

It goes on renewing the leases of runs meanwhile. These last for one more full lease, so that runs
survive a store outage of 13 s. A successor waits for this time plus the longest lease before it
requeues the tasks of a worker that it cannot reach.

The term itself goes on, without commands, until the store answers: leases may be paused during an
outage, and a renewal that succeeds proves that the key never went. Transactions need no check of
this time, because they are conditional on the controller key.
"""

CONFIGURATION_POLL_S = 0.02
"""Pause between checks for the first configuration; it delays every restart."""

TICK_S = 0.25
"""Longest pause between two checks of timers; other events are processed immediately."""

SUBMISSION_WATCH_MS = 1000
"""Longest wait of a watch on submissions; it bounds how long a dead connection goes unnoticed."""

MISSED_SUBMISSION_POLL_S = 0.3
"""Pause between polls for submissions that the watch missed; urgent jobs must start within 1 s."""

WAVE_WATCH_MS = 4000
"""Longest wait of a watch on maintenance waves, which last for tens of seconds."""

WORKER_WATCH_MS = 600
"""Longest wait of a watch on workers; draining must be noticed well within 2 s."""

WORKER_WATCH_PAUSE_S = 0.15
"""Pause between two watches on workers, so that heartbeats arrive in batches."""

STALL_TIMEOUT_S = 4.0
"""Time without progress after which a run is moved; the slowest healthy run gains 1 % in 3 s."""

REPLAN_INTERVAL_S = 0.2
"""Pause between two plans while no run or job has changed; workers and zones may have changed."""


@dataclass(frozen=True, slots=True)
class OperatorView:
    """Configuration and zones out of service, with the store conditions that confirm them.

    Attributes:
        zones_out: Availability zones in which no task may start.
        guards: Returns the store conditions under which a start in the given zones is allowed.
        apply_conflict: Applies the operators' items that a failed condition returned, by key.
    """

    configuration: ClusterConfiguration
    zones_out: frozenset[str]
    guards: Callable[[frozenset[str]], Mapping[str, int]]
    apply_conflict: Callable[[Mapping[str, Item]], None]


@dataclass(frozen=True, slots=True)
class _IntakeChange:
    change: Change


@dataclass(frozen=True, slots=True)
class _Wake:
    pass


_Event = LinkEvent | AdviceReceived | MaintenanceEvent | _IntakeChange | ChangeBatch | _Wake


@dataclass(slots=True)
class _Pending:
    """Placements and worker listings to be completed once the changed jobs are stored."""

    listings: list[tuple[ListingReceived, int]] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)


class Controller:
    """One term of this instance as the controller.

    Args:
        store: The platform's store.
        fleet: Access to workers, the advisor and machines.
        operators: Returns the operators' current view; None while there is no configuration.
        token: Fencing token of this term.
        lease_ms: Duration of the leases of runs at workers.
        now_s: Local clock that also advances while the machine is suspended.
        now_unix_ms: Time of day.
        renewed_s: Returns the local time at which the last successful renewal of the controller
            key's lease was sent.
        retention_s: Time for which clients may query ended jobs; records are kept twice as long.
        metrics: Counts starts, ends of runs and jobs.
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
        self._lease_ms = lease_ms
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._renewed_s = renewed_s
        self._registry = JobRegistry()
        self._commits = Commits(store, token, self._check_term)
        self._workers = Workers(fleet, self._registry, self._make_link, now_s)
        self._jobs = StoredJobs(
            store,
            self._registry,
            self._commits,
            self._find_queue,
            retention_s=retention_s,
            now_s=now_s,
            now_unix_ms=now_unix_ms,
            metrics=metrics,
        )
        self._reservations: tuple[Reservation, ...] = ()
        self._searched: frozenset[UnitKey] = frozenset()
        self._reservation_limit_s = reservation_limit_s(fleet.reclaim_s, fleet.stop_timeout_s)
        self._wait_log = WaitLog()
        self._planned_version = -1
        self._planned_s = 0.0
        self._pending = _Pending()
        self._is_stopping = False
        self._fenced_by = ""
        self._started_s = now_s()
        send, receive = anyio.create_memory_object_stream[_Event](math.inf)
        self._send, self._receive = send, receive
        self._tickets = Tickets(fleet.advisor, now_s, send)
        self._maintenance = (
            MaintenanceCoordinator(
                fleet.maintenance, store, token, self._registry, renewed_s, now_s, send
            )
            if fleet.maintenance
            else None
        )
        self._runs = RunReports(
            self._registry,
            self._workers,
            self._tickets,
            metrics,
            now_s=now_s,
            now_unix_ms=now_unix_ms,
            predecessor_expiry_s=self._predecessor_expiry_s(),
        )

    @property
    def token(self) -> int:
        """Fencing token of this term: the revision of the controller key."""
        return self._token

    @property
    def waiting_jobs(self) -> int:
        """Number of unfinished jobs without any started task."""
        jobs = self._registry.jobs.values()
        return sum(not job.has_started and not job.state.is_final for job in jobs)

    @property
    def unservable_steps(self) -> int:
        """Number of waiting steps that no set of the listed workers can serve."""
        return self._wait_log.unservable_count

    def _may_act(self) -> bool:
        return not self._fenced_by and self._now_s() - self._renewed_s() < RENEWAL_GRACE_S

    def _on_fenced(self, worker: str) -> None:
        self._fenced_by = worker
        self.wake()

    def _check_term(self) -> None:
        if self._fenced_by:
            raise ControllerLostError(f"worker {self._fenced_by} has seen a newer controller")

    def wake(self) -> None:
        """Plan again soon, because the operators' view or this term's state has changed."""
        self._send.send_nowait(_Wake())

    def stop(self) -> None:
        """Make no further decisions; those already made are still stored and sent."""
        self._is_stopping = True
        self.wake()

    async def run(self) -> None:
        """Act as the controller until the term ends or `stop` is called.

        Raises:
            ControllerLostError: This term has ended; another instance may be the controller.
            StoreCallError: The stored records could not be read at the start of the term.
        """
        await self._await_configuration()
        intake_revision = await self._jobs.load(self._token)
        workers_prefix = self._workers_prefix
        workers, revision = await self._store.list_items(workers_prefix)
        entries = tuple(Change(item.key, item.value, item.revision) for item in workers)
        self._workers.apply_entries(ChangeBatch(entries, is_snapshot=True))
        async with anyio.create_task_group() as group:
            group.start_soon(
                follow_prefix,
                self._store,
                INTAKE_PREFIX,
                intake_revision,
                SUBMISSION_WATCH_MS,
                0.0,
                self._on_intake,
            )
            group.start_soon(
                follow_prefix,
                self._store,
                workers_prefix,
                revision,
                WORKER_WATCH_MS,
                WORKER_WATCH_PAUSE_S,
                self._on_workers,
            )
            group.start_soon(self._tickets.run)
            group.start_soon(self._poll_missed_submissions)
            if self._maintenance is not None:
                group.start_soon(self._maintenance.run)
                group.start_soon(
                    follow_prefix,
                    self._store,
                    self._maintenance.waves_prefix,
                    None,
                    WAVE_WATCH_MS,
                    0.0,
                    self._maintenance.on_waves,
                )
            try:
                await self._loop(group)
            finally:
                group.cancel_scope.cancel()
                self._workers.close()

    async def _on_intake(self, changes: ChangeBatch) -> None:
        for change in changes.changes:
            await self._send.send(_IntakeChange(change))

    async def _poll_missed_submissions(self) -> None:
        """Find submissions that the watch misses, for example when the store drops its history."""
        while True:
            await anyio.sleep(MISSED_SUBMISSION_POLL_S)
            try:
                changes = await self._jobs.find_missed_submissions()
            except StoreCallError as failure:
                log_event(WATCH_FAILED, prefix=WAITING_PREFIX, reason=failure.reason)
                continue
            for change in changes:
                await self._send.send(_IntakeChange(change))

    async def _on_workers(self, changes: ChangeBatch) -> None:
        await self._send.send(changes)

    async def _await_configuration(self) -> None:
        """Wait for the configuration, without which attempts and priorities are unknown."""
        while self._operators() is None:
            self._check_term()
            if self._is_stopping:
                return
            await anyio.sleep(CONFIGURATION_POLL_S)

    def _find_queue(self, name: str) -> Queue | None:
        view = self._operators()
        return view.configuration.queues.get(name) if view else None

    def _make_link(self, entry: WorkerEntry, calls: WorkerCalls) -> WorkerLink:
        return WorkerLink(
            entry=entry,
            calls=calls,
            token=self._token,
            lease_ms=self._lease_ms,
            now_s=self._now_s,
            may_act=self._may_act,
            on_fenced=self._on_fenced,
            events=self._send,
            leases_expire_s=self._predecessor_expiry_s(),
        )

    def _predecessor_expiry_s(self) -> float:
        return self._started_s + RENEWAL_GRACE_S + max_lease_s(self._lease_ms)

    async def _loop(self, group: TaskGroup) -> None:
        while True:
            self._workers.update_links(group)
            self._plan_starts()
            self._send_stops(group)
            await self._commit_and_send(group)
            if self._is_stopping:
                return
            await self._process_events()
            self._check_term()

    async def _process_events(self) -> None:
        with anyio.move_on_after(self._pause_s()):
            self._apply(await self._receive.receive())
        # Later events wait for the next round, so that a stream of them does not defer the plan.
        for _ in range(self._receive.statistics().current_buffer_used):
            self._apply(self._receive.receive_nowait())
            await anyio.lowlevel.checkpoint()
        self._runs.judge_crashes()
        self._runs.requeue_expired()
        self._runs.requeue_from_removed()
        await self._jobs.delete_old_records()

    def _pause_s(self) -> float:
        due = self._registry.next_due_unix_ms(self._now_unix_ms())
        return TICK_S if due is None else min(TICK_S, (due - self._now_unix_ms()) / 1000 + 0.001)

    def _apply(self, event: _Event) -> None:
        match event:
            case _IntakeChange():
                self._jobs.apply(event.change, {})
            case ChangeBatch():
                self._workers.apply_entries(event)
            case ListingReceived():
                self._pending.listings.append((event, self._runs.apply_listing(event)))
            case StartFinished():
                self._runs.apply_start(event)
            case StopConfirmed():
                self._runs.apply_stop(event)
            case IncarnationReplaced():
                self._runs.apply_replacement(event)
            case AdviceReceived():
                self._tickets.apply(event)
                self._planned_s = 0.0
            case MachinesListed() | MaintenanceCommandFinished():
                if self._maintenance is not None:
                    self._maintenance.apply(event)
            case _Wake():
                self._planned_s = 0.0

    # Decisions

    def _plan_starts(self) -> None:
        for task in self._registry.stale_runs():
            is_over = self._registry.jobs[task.id.job_id].state.is_final
            self._registry.mark_stopping(task, StopReason.JOB_ENDED if is_over else StopReason.GANG)
        view = self._operators()
        if view is None or self._is_stopping:
            return
        now_s = self._now_s()
        is_unchanged = self._planned_version == self._registry.version
        if is_unchanged and now_s - self._planned_s < REPLAN_INTERVAL_S:
            return
        self._refresh_queues(view.configuration)
        self._stop_on_draining_workers(now_s)
        self._stop_stalled_runs(now_s)
        for task in self._maintenance.decide() if self._maintenance else ():
            self._registry.mark_stopping(task, StopReason.DRAINING)
        within_guarantee = self._registry.accounts_within_guarantee(
            view.configuration.guaranteed_accelerators
        )
        units = self._registry.ready_units(now_s, self._now_unix_ms(), within_guarantee)
        if not units and not self._reservations:
            return
        units = self._tickets.with_allowed_workers(units, self._workers.entries)
        cordoned = self._maintenance.cordoned() if self._maintenance else frozenset()
        workers = self._workers.views(view.zones_out, cordoned, now_s, within_guarantee)
        explained = self._wait_log.select(units, now_s)
        decided = plan(
            FleetView(
                now_s,
                workers,
                units,
                self._reservations,
                explained,
                self._reservation_limit_s,
                self._searched,
            )
        )
        self._note_deferred(units, decided.deferred)
        self._log_ended_reservations(decided, now_s)
        beneficiaries = {
            v: r.placement.unit.job_id for r in decided.reservations for v in r.victims
        }
        self._reservations = decided.reservations
        self._planned_version, self._planned_s = self._registry.version, now_s
        for victim in decided.stops:
            self._preempt(victim, beneficiaries.get(victim, ""))
        for placement in decided.placements:
            self._assign(placement, now_s)
        placed = {placement.unit.key for placement in decided.placements}
        self._wait_log.record(placed, decided.waits, now_s)
        self._tickets.request_advice(
            (u for u in units if u.key not in placed), self._workers.entries
        )

    def _note_deferred(self, units: Iterable[SchedulingUnit], deferred: frozenset[UnitKey]) -> None:
        """Plan again at once if units were deferred, those first that no plan has considered."""
        if not deferred:
            self._searched = frozenset()
            return
        searched = self._searched | {unit.key for unit in units if unit.key not in deferred}
        # Each unit is considered once before any of the same priority is considered again.
        self._searched = frozenset() if deferred <= searched else searched
        self.wake()

    def _stop_on_draining_workers(self, now_s: float) -> None:
        """Stop the runs that draining workers would cut off, in time to place them elsewhere."""
        for worker, left_s in self._workers.draining().items():
            for task_id in runs_to_stop(self._workers.ending_runs(worker, now_s), left_s):
                task = self._registry.find(task_id)
                if task is not None and task.state is TaskState.ASSIGNED:
                    log_event(
                        RUN_LEAVES_WORKER,
                        job=task_id.job_id,
                        task=str(task_id),
                        worker=worker,
                        percent=task.percent,
                        left_s=round(left_s, 2),
                    )
                    self._registry.mark_stopping(task, StopReason.DRAINING)

    def _stop_stalled_runs(self, now_s: float) -> None:
        for task in self._registry.stalled_runs(now_s, STALL_TIMEOUT_S):
            link = self._workers.links.get(task.worker)
            if link is None or link.is_unresponsive or link.has_unlisted_ends:
                continue
            log_event(RUN_STALLED, job=task.id.job_id, task=str(task.id), worker=task.worker)
            self._workers.record_failure(task.worker, task.id.job_id)
            self._registry.mark_stopping(task, StopReason.STALLED)

    def _refresh_queues(self, configuration: ClusterConfiguration) -> None:
        for job in self._registry.jobs.values():
            queue = configuration.queues.get(job.submission.queue)
            if queue is not None:
                job.queue = queue

    def _log_ended_reservations(self, decided: Plan, now_s: float) -> None:
        kept = {reservation.placement.unit.key for reservation in decided.reservations}
        placed = {placement.unit.key for placement in decided.placements}
        for reservation in self._reservations:
            unit = reservation.placement.unit
            if unit.key not in kept:
                log_event(
                    RESERVATION_ENDED,
                    job=unit.job_id,
                    step=unit.step_number,
                    is_placed=unit.key in placed,
                    is_expired=now_s > reservation.until_s,
                    victims=len(reservation.victims),
                )

    def _preempt(self, victim: TaskId, for_job: str) -> None:
        task = self._registry.find(victim)
        if task is not None:
            log_event(
                TASK_RECLAIMED,
                job=victim.job_id,
                task=str(victim),
                run=task.run,
                worker=task.worker,
                for_job=for_job,
            )
            self._registry.mark_stopping(task, StopReason.PREEMPTED)

    def _assign(self, placement: Placement, now_s: float) -> None:
        unit = placement.unit
        run = self._registry.next_run(unit)
        for task_id, worker in placement.workers.items():
            task = self._registry.find(task_id)
            if task is not None:
                task.start_settled_s = math.inf
                task.stopped_s = 0.0
                boot = self._workers.entries[worker].boot_unix_ms
                self._registry.assign(task, worker, boot, run, now_s)
        self._pending.placements.append(placement)

    # Effects

    def _send_stops(self, group: TaskGroup) -> None:
        for worker in self._registry.workers_with_tasks():
            link = self._workers.link(group, worker)
            for task in self._registry.placed_on(worker) if link else ():
                if link and task.state is TaskState.STOPPING and task.stopped_s <= 0:
                    link.stop(group, task.id, task.run, has_begun=task.is_confirmed)
        for worker, task_id, run in self._runs.take_orphaned_runs():
            link = self._workers.links.get(worker)
            if link is not None:
                link.stop(group, task_id, run, has_begun=True)

    async def _commit_and_send(self, group: TaskGroup) -> None:
        pending, self._pending = self._pending, _Pending()
        zones: dict[str, set[str]] = {}
        for placement in pending.placements:
            used = zones.setdefault(placement.unit.job_id, set())
            used |= {self._workers.entries[w].zone for w in placement.workers.values()}
        changes = [
            JobChange(
                self._registry.jobs[job_id], job_id in zones, frozenset(zones.get(job_id, ()))
            )
            for job_id in self._registry.changed
            if job_id in self._registry.jobs
        ]
        self._registry.changed.clear()
        rejected: list[RejectedTransaction] = []
        if changes:
            began_s = self._now_s()
            rejected = await self._commits.store(changes, self._guards)
            self._metrics.observe_s("commit", self._now_s() - began_s)
        blocked = {job_id for rejection in rejected for job_id in rejection.jobs}
        for rejection in rejected:
            self._roll_back(rejection, pending)
        for event, highest_end in pending.listings:
            if not blocked:
                link = self._workers.links[event.worker]
                link.record_stored_ends(event.listing.boot_unix_ms, highest_end)
            event.processed.set()
        self._send_starts(group, [p for p in pending.placements if p.unit.job_id not in blocked])
        stored = [c.job for c in changes if c.job.submission.job_id not in blocked]
        removed = self._jobs.remove_ended(stored)
        self._tickets.remove_jobs(job.submission.job_id for job in removed)
        if rejected:
            self.wake()

    def _guards(self, zones: frozenset[str]) -> Mapping[str, int]:
        view = self._operators()
        return view.guards(zones) if view else {}

    def _roll_back(self, rejection: RejectedTransaction, pending: _Pending) -> None:
        log_event(
            STARTS_REJECTED,
            jobs=list(rejection.jobs),
            cancelled=list(rejection.cancelled),
            changed=sorted(rejection.operator_items),
        )
        view = self._operators()
        if view is not None:
            view.apply_conflict(rejection.operator_items)
        for placement in pending.placements:
            if placement.unit.job_id in rejection.jobs:
                self._requeue_unsent(placement)
        for job_id in rejection.cancelled:
            self._registry.cancel(job_id, self._now_unix_ms())
        self._registry.changed.update(j for j in rejection.jobs if j in self._registry.jobs)

    def _send_starts(self, group: TaskGroup, placements: list[Placement]) -> None:
        for placement in placements:
            unit = placement.unit
            job = self._registry.jobs[unit.job_id]
            if self._is_outdated(placement):
                self._abandon(placement)
                continue
            checkpoint = _common_checkpoint(job.tasks, unit.tasks) if unit.step.is_gang else ""
            waiting_since_s = min(job.tasks[task].waiting_since_s for task in placement.workers)
            log_event(
                JOB_PLACED,
                job=unit.job_id,
                step=unit.step_number,
                waited_s=round(self._now_s() - waiting_since_s, 3),
                workers=sorted(set(placement.workers.values())),
            )
            for task_id, worker in placement.workers.items():
                task = job.tasks[task_id]
                link = self._workers.link(group, worker)
                if task.state is not TaskState.ASSIGNED or link is None:
                    continue
                saved = checkpoint if unit.step.is_gang else task.checkpoint
                link.set_may_have_runs(True)
                ticket = self._tickets.ticket(unit.key, worker)
                payload = job.submission.payload
                command = StartCommand(task_id, task.run, payload, saved, ticket)
                link.start(group, command, unit.step.request, self._is_wanted(task))

    def _is_wanted(self, task: Task) -> Callable[[], bool]:
        """Return a function that tells whether the present run of a task may still be started.

        A run may have ended although its start got no response. Another attempt would start it
        again on a worker that has restarted meanwhile.
        """
        run, until_s = task.run, self._workers.start_until_s(task.worker)

        def is_wanted() -> bool:
            is_current = task.run == run and task.state is TaskState.ASSIGNED
            return is_current and self._now_s() <= until_s

        return is_wanted

    def _is_outdated(self, placement: Placement) -> bool:
        """Return whether storing a placement took so long that a worker may have shrunk."""
        now_s = self._now_s()
        return any(now_s > self._workers.start_until_s(w) for w in placement.workers.values())

    def _abandon(self, placement: Placement) -> None:
        """Queue the tasks of a placement again, for which no command was sent."""
        log_event(STARTS_OUTDATED, job=placement.unit.job_id, step=placement.unit.step_number)
        self._requeue_unsent(placement)

    def _requeue_unsent(self, placement: Placement) -> None:
        for task_id in placement.workers:
            task = self._registry.find(task_id)
            if task is not None:
                self._registry.requeue(task)


def _common_checkpoint(tasks: Mapping[TaskId, Task], members: tuple[TaskId, ...]) -> str:
    """Return the checkpoint that all members resume from; any member's is valid for the gang."""
    return max(tasks[member].checkpoint for member in members)
