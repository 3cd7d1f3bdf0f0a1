"""Planner for the gangs of one deployment.

From a `ClusterView` it decides which gangs start, stop or fail and which workers are quarantined,
and gives each job that stays in the queue a reason. Placement, guarantees and reservations are
implemented in the neighbouring modules.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cached_property

from foxtailwell.core._allocations import Member
from foxtailwell.core._guarantees import GuaranteePacking, Preemption, choose_preemption
from foxtailwell.core._jobs import GangSpec, Job, JobState
from foxtailwell.core._placement import Capacity, indexes_of, largest_gang, mask_of, place_best_fit
from foxtailwell.core._plan import (
    ClusterView,
    Decision,
    FailJob,
    Plan,
    QuarantineWorker,
    StartGang,
    StopGang,
    StopReason,
    WaitReason,
)
from foxtailwell.core._planning_context import (
    EMPTY_SPEC,
    MOVE_OVERHEAD_S,
    REASON_NAME_LIMIT,
    URGENT_CHECKPOINT_WAIT_S,
    PlanningContext,
)
from foxtailwell.core._quarantine import has_exhausted_workers, quarantine_until_ms
from foxtailwell.core._reservations import Reservation
from foxtailwell.core._submissions import largest_member_count

CHECKPOINT_WAIT_S = 30.0
"""Maximum time for a checkpoint before a stop that is not for urgent work."""

RESERVATION_AGE_S = 20.0
"""Waiting time after which a gang at least as large as the largest worker may get a reservation."""

RESERVATION_LIMIT = 4
"""Maximum concurrent reservations; more would leave too little free capacity for backfill."""

_Placement = tuple[str, tuple[Member, ...]]
_STOPPABLE = (JobState.PREPARING, JobState.RUNNING)


DISPLACEMENT_SHARE = 1.0
"""Maximum accelerators of displaced gangs, as a share of the accelerators of the large gang."""

RESERVATION_HORIZON_SHARE = 0.1
"""Free accelerators are reserved if the predicted wait is at most this share of the time waited."""


@dataclass(frozen=True, slots=True)
class PlannerRules:
    """Optional planner rules; benchmarks disable some to measure their effect.

    Attributes:
        has_reservations: Large gangs that waited long get accelerators reserved.
        has_backfill: Other jobs may use reserved accelerators until the reserved gang is due.
        has_moves: Running gangs are stopped and restarted elsewhere for a large gang.
        has_displacement: A move may also return gangs to the queue if they fit nowhere else.
        reservation_age_s: Waiting time after which a large gang may get a reservation.
        reservation_limit: Reservations that may exist at the same time.
        displacement_share: Maximum accelerators of displaced gangs, relative to the large gang.
        reservation_horizon_share: Free accelerators are reserved only if the predicted time until
            the start is at most this share of the time waited.
    """

    has_reservations: bool = True
    has_backfill: bool = True
    has_moves: bool = True
    has_displacement: bool = True
    reservation_age_s: float = RESERVATION_AGE_S
    reservation_limit: int = RESERVATION_LIMIT
    displacement_share: float = DISPLACEMENT_SHARE
    reservation_horizon_share: float = RESERVATION_HORIZON_SHARE


def plan(view: ClusterView, rules: PlannerRules | None = None) -> Plan:
    """Return the starts, stops, failures and quarantines that are due now.

    Args:
        view: State of the deployment; it is not modified.
        rules: Optional rules; all are enabled when omitted.

    Returns:
        The decisions in execution order, and a reason for each job that stays in the queue.
    """
    return _PlanBuilder(PlanningContext(view), rules or PlannerRules()).run()


def is_reclaimable(view: ClusterView) -> bool:
    """Whether free accelerators and reclaims from borrowers satisfy all guaranteed shapes."""
    return find_reclaimable_slots(view).is_complete


def find_reclaimable_slots(view: ClusterView) -> GuaranteePacking:
    """Return the slots that keep the guaranteed shapes reclaimable, and shapes without a slot."""
    return PlanningContext(view).packing


class _PlanBuilder:
    """Builds one plan step by step; `run` is called once per instance."""

    def __init__(self, context: PlanningContext, rules: PlannerRules) -> None:
        self._context = context
        self._rules = rules
        self._configuration = context.view.configuration
        self._decisions: list[Decision] = []
        self._waiting: dict[str, WaitReason] = {}
        self._resolved: set[str] = set()
        self._reservations: dict[str, Reservation] = {}
        self._assigned: dict[str, int] = {}
        # Placements that failed. Capacity only shrinks within a plan, so they would fail again;
        # cancelling a reservation frees capacity and clears the set.
        self._failed_keys: set[tuple[object, ...]] = set()
        self._cached_reasons: dict[tuple[object, ...], WaitReason] = {}
        self._fit_messages: dict[GangSpec, str | None] = {}

    def run(self) -> Plan:
        self._quarantine_workers()
        self._stop_running()
        waiting = [j for j in self._context.view.jobs if j.state is JobState.WAITING]
        self._resolve_unplaceable(waiting)
        self._probe_workers(waiting)
        ordered = self._ordered(waiting)
        self._reserve(ordered)
        for job in ordered:
            self._plan_job(job)
        return Plan(tuple(self._decisions), self._waiting)

    def _quarantine_workers(self) -> None:
        context = self._context
        zones = {w.id: w.zone for w in context.view.workers}
        for name, failures in sorted(context.view.failing_workers.items()):
            until = quarantine_until_ms(failures, context.quarantined.get(name), context.now_ms)
            if until is None or name not in zones:
                continue
            self._decisions.append(QuarantineWorker(zones[name], name, until))
            context.quarantined[name] = until
            worker = context.capacity.workers.get(name)
            if worker is not None:
                everything = Member(name, tuple(range(worker.accelerators)))
                context.capacity.take([everything], EMPTY_SPEC)

    def _stop_running(self) -> None:
        context = self._context
        leaving = {w.id for w in context.view.workers if w.state == "leaving"}
        leaving |= set(self._configuration.leaving_instances)
        stops: list[tuple[tuple[object, ...], Job, str, StopReason]] = []
        for zone, gang, job in context.gangs:
            if job is None or job.state not in _STOPPABLE:
                continue
            reason: StopReason | None = None
            if job.cancel_requested:
                reason = "cancel"
            elif zone in self._configuration.zones_out:
                reason = "zone_out"
            elif leaving and any(m.worker in leaving for m in gang.members):
                reason = "worker_leaving"
            if reason is not None:
                is_beyond_guarantee = reason != "cancel" and job.id not in context.within_guarantee
                stops.append(((is_beyond_guarantee, *context.due_order(job)), job, zone, reason))
        for _, job, zone, reason in sorted(stops, key=lambda s: s[0]):
            wait_s = 0.0 if reason == "cancel" else CHECKPOINT_WAIT_S
            self._stop(job.id, zone, reason, wait_s)

    def _stop(self, job_id: str, zone: str, reason: StopReason, wait_s: float) -> None:
        self._decisions.append(StopGang(job_id, zone, reason, wait_s))
        self._context.mark_stopped(job_id)

    def _resolve_unplaceable(self, waiting: list[Job]) -> None:
        """Resolve the jobs that are not placed: cancelled ones and those that can never run."""
        for job in waiting:
            if job.cancel_requested:
                self._waiting[job.id] = WaitReason("cancelled", "a caller cancelled the job")
            elif has_exhausted_workers(job, self._context.quarantined):
                names = ", ".join(sorted(set(job.failed_workers))[:REASON_NAME_LIMIT])
                self._decisions.append(
                    FailJob(
                        job.id,
                        f"the job failed on the workers {names}",
                    )
                )
            elif (message := self._impossible_message(job)) is not None:
                self._decisions.append(FailJob(job.id, message))
            else:
                continue
            self._resolved.add(job.id)

    def _impossible_message(self, job: Job) -> str | None:
        """Return an error that names the largest possible gang if this gang fits in no zone.

        Workers may be missing from the instance list during the loss of a zone. Therefore a job
        that has already run is never failed here, and no job is failed while a zone with an
        allocation document has no workers.
        """
        if job.attempt > 0 or job.spec.members < 1 or job.spec.accelerators_per_member < 1:
            return None
        if job.spec not in self._fit_messages:
            self._fit_messages[job.spec] = self._fit_message(job.spec)
        return self._fit_messages[job.spec]

    def _fit_message(self, spec: GangSpec) -> str | None:
        counts = dict.fromkeys(self._context.view.allocations, 0)
        known = set()
        for worker in self._context.view.workers:
            if worker.role == "worker" and worker.accelerators:
                known.add(worker.zone)
                fits = worker.accelerators // spec.accelerators_per_member
                if spec.cores_per_member:
                    fits = min(fits, worker.cores // spec.cores_per_member)
                if spec.memory_gb_per_member:
                    fits = min(fits, worker.memory_gb // spec.memory_gb_per_member)
                counts[worker.zone] = counts.get(worker.zone, 0) + fits
        if not known or known != set(counts) or max(counts.values()) >= spec.members:
            return None
        zone = max(sorted(counts), key=lambda z: counts[z])
        if counts[zone] == 0:
            return (
                f"no worker has {spec.accelerators_per_member} accelerators, "
                f"{spec.cores_per_member} cores and {spec.memory_gb_per_member} GB; the largest "
                f"worker has {self._context.largest_worker} accelerators"
            )
        return (
            f"{spec.members} members of {spec.accelerators_per_member} accelerators never fit; "
            f"at most {counts[zone]} such members fit, in zone {zone}"
        )

    def _probe_workers(self, waiting: list[Job]) -> None:
        """Start one small idempotent job as a probe on each worker whose quarantine has expired."""
        context = self._context
        ended = {w for w, until in context.quarantined.items() if until <= context.now_ms}
        if not ended:
            return
        ended -= {m.worker for _, gang, _ in context.gangs for m in gang.members}
        for worker in sorted(context.usable, key=lambda w: w.id):
            if worker.id in ended and context.start_budget.get(worker.zone, 0) > 0:
                fitting = [j for j in waiting if self._may_probe(j, worker.id, worker.accelerators)]
                if fitting:
                    job = min(fitting, key=lambda j: (j.spec.accelerators, *context.due_order(j)))
                    indexes = tuple(range(job.spec.accelerators))
                    self._start(job, worker.zone, (Member(worker.id, indexes),))

    def _may_probe(self, job: Job, worker: str, accelerators: int) -> bool:
        return (
            job.id not in self._resolved
            and job.spec.members == 1
            and job.spec.accelerators <= accelerators
            and not job.spec.cores_per_member
            and not job.spec.memory_gb_per_member
            and job.idempotent
            and not self._context.is_urgent(job)
            and worker not in job.failed_workers
            and not self._is_over_quota(job)
        )

    def _ordered(self, waiting: list[Job]) -> list[Job]:
        """Return the jobs to place: guarantees, urgent jobs, aged large gangs, then by due time."""
        context = self._context

        def order(job: Job) -> tuple[object, ...]:
            may_reclaim = context.reclaimable_slots(job) is not None
            is_aged = self._rules.has_reservations and self._is_aged(job)
            return (
                not may_reclaim,
                not context.is_urgent(job),
                not is_aged,
                *context.due_order(job),
            )

        return sorted((j for j in waiting if j.id not in self._resolved), key=order)

    def _is_aged(self, job: Job) -> bool:
        age_s = (self._context.now_ms - job.submitted_unix_ms) / 1000
        is_large = job.spec.accelerators >= self._context.largest_worker
        return is_large and age_s >= self._rules.reservation_age_s

    def _is_over_quota(self, job: Job) -> bool:
        account = self._configuration.accounts.get(job.account)
        if account is None or account.quota_accelerators <= 0:
            return False
        used = self._context.usage.get(job.account, 0)
        return used + job.spec.accelerators > account.quota_accelerators

    def _plan_job(self, job: Job) -> None:
        """Start one job, preempt others for it, or record why it waits."""
        if self._is_over_quota(job):
            self._waiting[job.id] = self._quota_reason(job)
            return
        if not self._context.capacity.zones:
            self._waiting[job.id] = WaitReason("no_zone", "no zone is in service", "a zone back")
            return
        with self._without_workers(self._excluded_workers(job)):
            reservation = self._reservations.get(job.id)
            if reservation is None:
                self._start_or_preempt(job)
            else:
                self._start_reserved(job, reservation)

    def _excluded_workers(self, job: Job) -> tuple[str, ...]:
        """Return the workers on which the job failed, unless it cannot run without them.

        In a small fleet the remaining workers may be too few, and the job would wait forever.
        """
        if not job.failed_workers:
            return ()
        excluded = {*job.failed_workers, *self._context.quarantined}
        others = [w for w in self._context.usable if w.id not in excluded]
        fits = largest_member_count(job.spec, others) >= job.spec.members
        return job.failed_workers if fits else ()

    def _start_or_preempt(self, job: Job) -> None:
        found = self._place(job)
        if found is not None:
            self._start(job, *found)
        elif not self._preempt_for(job):
            self._waiting[job.id] = self._capacity_reason(job)

    def _start_reserved(self, job: Job, reservation: Reservation) -> None:
        """Start a gang with a reservation, move other gangs for it, or keep the reservation."""
        zones = self._startable_zones()
        with self._reserved_as_free([reservation]):
            found = place_best_fit(self._context.capacity, job.spec, zones=zones)
            moved = (
                found is None and self._rules.has_moves and self._move(job, reservation.due_in_s)
            )
        if found is not None:
            self._start(job, *found)
        if found is not None or moved:
            self._cancel_reservation(reservation)
            return
        self._waiting[job.id] = WaitReason(
            "reserved",
            f"accelerators in zone {reservation.zone} are reserved, predicted to be free in "
            f"{reservation.due_in_s:.0f} s",
            _needs_text(job.spec),
            self._blocking_jobs(reservation.members),
        )

    @contextmanager
    def _without_workers(self, names: Iterable[str]) -> Iterator[None]:
        """Exclude the free accelerators of some workers while the context is active."""
        hidden = []
        for name in set(names):
            worker = self._context.capacity.workers.get(name)
            if worker is not None and worker.free:
                hidden.append(Member(name, indexes_of(worker.free)))
        self._context.capacity.take(hidden, EMPTY_SPEC)
        try:
            yield
        finally:
            self._context.capacity.release(hidden, EMPTY_SPEC)

    def _startable_zones(self) -> list[str]:
        return [zone for zone, left in self._context.start_budget.items() if left > 0]

    def _place(self, job: Job) -> _Placement | None:
        """Return a placement on free accelerators; slots of the job's own account come first."""
        zones = self._startable_zones()
        slots = self._context.reclaimable_slots(job)
        if slots:
            own = choose_preemption(
                self._context.capacity, {}, {}, job.spec, within=slots, zones=zones
            )
            if own is not None:
                return own.zone, own.members
        key = (job.spec, job.failed_workers)
        if key in self._failed_keys:
            return self._backfill(job, zones)
        found = place_best_fit(self._context.capacity, job.spec, zones=zones)
        if found is None:
            self._failed_keys.add(key)
            return self._backfill(job, zones)
        return found

    def _backfill(self, job: Job, zones: list[str]) -> _Placement | None:
        """Return a placement that may include reserved accelerators.

        Urgent and guaranteed jobs may use any of them; other jobs must be predicted to end before
        the reservation is due.
        """
        usable = self._usable_reservations(job)
        key = (job.spec, job.failed_workers, tuple(r.job_id for r in usable))
        if not usable or key in self._failed_keys:
            return None
        with self._reserved_as_free(usable):
            found = place_best_fit(self._context.capacity, job.spec, zones=zones)
        if found is None:
            self._failed_keys.add(key)
            return None
        for member in found[1]:
            mask = mask_of(member.accelerators)
            for reservation in usable:
                if member.worker in reservation.free:
                    reservation.free[member.worker] &= ~mask
        return found

    def _usable_reservations(self, job: Job) -> list[Reservation]:
        with_free = [r for r in self._reservations.values() if any(r.free.values())]
        if self._context.is_urgent(job) or self._context.reclaimable_slots(job):
            return with_free
        if not self._rules.has_backfill:
            return []
        run_s = self._context.view.run_time_s.get(job.id, job.declared_run_s)
        return [r for r in with_free if r.due_in_s >= run_s]

    @contextmanager
    def _reserved_as_free(self, reservations: Iterable[Reservation]) -> Iterator[None]:
        """Count reserved free accelerators as free while the context is active."""
        free = [
            Member(worker, indexes_of(mask))
            for reservation in reservations
            for worker, mask in reservation.free.items()
            if mask
        ]
        self._context.capacity.release(free, EMPTY_SPEC)
        try:
            yield
        finally:
            self._context.capacity.take(free, EMPTY_SPEC)

    def _cancel_reservation(self, reservation: Reservation) -> None:
        """Release a reservation, except accelerators assigned to other jobs in this plan."""
        del self._reservations[reservation.job_id]
        for worker, mask in reservation.free.items():
            mask &= ~self._assigned.get(worker, 0)
            self._context.capacity.release([Member(worker, indexes_of(mask))], EMPTY_SPEC)
        self._failed_keys.clear()

    def _start(self, job: Job, zone: str, members: tuple[Member, ...]) -> None:
        self._context.take(job, members)
        self._record_assigned(members)
        self._context.usage[job.account] = (
            self._context.usage.get(job.account, 0) + job.spec.accelerators
        )
        self._context.start_budget[zone] -= 1
        self._resolved.add(job.id)
        self._decisions.append(StartGang(job.id, zone, members))

    def _preempt_for(self, job: Job) -> bool:
        """Stop other gangs for a job that does not fit; return whether such gangs were found."""
        slots = self._context.reclaimable_slots(job)
        zones = self._startable_zones()
        if slots and self._reclaim(job, self._context.costs, zones, slots):
            return True
        is_urgent = self._context.is_urgent(job)
        return is_urgent and self._reclaim(job, self._context.urgent_costs, zones, None)

    def _record_assigned(self, members: Iterable[Member]) -> None:
        for member in members:
            mask = mask_of(member.accelerators)
            self._assigned[member.worker] = self._assigned.get(member.worker, 0) | mask

    def _reclaim(
        self,
        job: Job,
        costs: Mapping[str, float],
        zones: list[str],
        within: Mapping[str, int] | None,
    ) -> bool:
        context = self._context
        key = ("reclaim", job.spec, job.failed_workers, None if within is None else job.account)
        if key in self._failed_keys:
            return False
        found = choose_preemption(
            context.capacity,
            context.worker_allocations,
            costs,
            job.spec,
            within=within,
            zones=zones,
        )
        if found is None:
            self._failed_keys.add(key)
            return False
        wait_s = URGENT_CHECKPOINT_WAIT_S if context.is_urgent(job) else CHECKPOINT_WAIT_S
        self._preempt(job, found, "reclaim", wait_s)
        self._waiting[job.id] = WaitReason(
            "reclaiming",
            f"{len(found.job_ids)} borrowing jobs are being stopped in zone {found.zone}",
            _needs_text(job.spec),
            found.job_ids[:REASON_NAME_LIMIT],
        )
        return True

    def _preempt(self, job: Job, found: Preemption, reason: StopReason, wait_s: float) -> None:
        for job_id in found.job_ids:
            victim = self._context.jobs[job_id]
            if victim.state is JobState.RUNNING and job_id not in self._context.stopped:
                self._stop(job_id, found.zone, reason, wait_s)
        self._context.assign_stopping(job, found.members)
        self._record_assigned(found.members)

    def _reserve(self, ordered: list[Job]) -> None:
        """Reserve accelerators for aged large gangs before other jobs are placed."""
        context = self._context
        reserved: dict[str, int] = {}
        for job in ordered:
            if len(self._reservations) >= self._rules.reservation_limit:
                return
            if not self._may_reserve(job):
                continue
            earliest = context.end_times.earliest_start(
                job.spec, list(context.capacity.zones), reserved
            )
            if earliest is None:
                continue
            due_in_s, zone, members = earliest
            age_s = (context.now_ms - job.submitted_unix_ms) / 1000
            is_near = due_in_s <= self._rules.reservation_horizon_share * age_s
            free: dict[str, int] = {}
            for member in members:
                mask = mask_of(member.accelerators)
                reserved[member.worker] = reserved.get(member.worker, 0) | mask
                mask &= context.capacity.workers[member.worker].free if is_near else 0
                free[member.worker] = free.get(member.worker, 0) | mask
            free_members = [
                Member(worker, indexes_of(mask)) for worker, mask in free.items() if mask
            ]
            context.capacity.take(free_members, EMPTY_SPEC)
            self._reservations[job.id] = Reservation(job.id, zone, members, due_in_s, free)

    def _may_reserve(self, job: Job) -> bool:
        return (
            self._rules.has_reservations
            and self._is_aged(job)
            and not self._is_over_quota(job)
            and not self._context.is_urgent(job)
            and not job.failed_workers
            and self._context.reclaimable_slots(job) is None
        )

    def _blocking_jobs(self, members: Iterable[Member]) -> tuple[str, ...]:
        found: dict[str, None] = {}
        for member in members:
            mask = mask_of(member.accelerators)
            for allocation in self._context.worker_allocations.get(member.worker, ()):
                if allocation.mask & mask:
                    found[allocation.job_id] = None
        return tuple(found)[:REASON_NAME_LIMIT]

    def _move(self, job: Job, due_in_s: float) -> bool:
        """Move smaller gangs away if that saves more accelerator time than it costs."""
        context = self._context
        if due_in_s <= MOVE_OVERHEAD_S:
            return False
        zones = self._startable_zones()
        smaller = {
            job_id: cost
            for job_id, cost in context.move_costs.items()
            if context.jobs[job_id].spec.accelerators < job.spec.accelerators
        }
        found = choose_preemption(
            context.capacity, context.worker_allocations, smaller, job.spec, zones=zones
        )
        if found is None or found.cost >= job.spec.accelerators * due_in_s:
            return False
        if not self._fits_elsewhere(found) and not self._may_displace(job, found):
            return False
        self._preempt(job, found, "move", CHECKPOINT_WAIT_S)
        self._waiting[job.id] = WaitReason(
            "moving",
            f"{len(found.job_ids)} jobs are being moved out of its way in zone {found.zone}",
            _needs_text(job.spec),
            found.job_ids[:REASON_NAME_LIMIT],
        )
        return True

    def _may_displace(self, job: Job, found: Preemption) -> bool:
        """Whether the gangs may return to the queue, with their work kept in a checkpoint.

        Together they may not use more than the displacement share of the large gang, because the
        difference would be left idle.
        """
        sizes = (self._context.jobs[job_id].spec.accelerators for job_id in found.job_ids)
        return self._rules.has_displacement and (
            sum(sizes) <= self._rules.displacement_share * job.spec.accelerators
        )

    def _fits_elsewhere(self, found: Preemption) -> bool:
        """Whether every gang to be moved fits on accelerators that are free now."""
        capacity: Capacity = self._context.capacity
        workers = capacity.workers
        taken = [
            Member(m.worker, indexes_of(mask_of(m.accelerators) & workers[m.worker].free))
            for m in found.members
        ]
        capacity.take(taken, EMPTY_SPEC)
        fits = True
        for job_id in found.job_ids:
            if job_id in self._context.stopped or not fits:
                continue
            placed = place_best_fit(capacity, GangSpec(*_shape_of(self._context.jobs[job_id])))
            fits = placed is not None
            if placed is not None:
                capacity.take(placed[1], EMPTY_SPEC)
                taken += placed[1]
        capacity.release(taken, EMPTY_SPEC)
        return fits

    def _quota_reason(self, job: Job) -> WaitReason:
        quota = self._configuration.accounts[job.account].quota_accelerators
        used = self._context.usage.get(job.account, 0)
        own = [gang.job_id for _, gang, _ in self._context.gangs if gang.account == job.account]
        return WaitReason(
            "over_quota",
            f"account {job.account} uses {used} of its {quota} accelerators",
            f"{job.spec.accelerators} accelerators within the quota",
            tuple(own[:REASON_NAME_LIMIT]),
        )

    def _capacity_reason(self, job: Job) -> WaitReason:
        key = (job.spec, job.failed_workers)
        if key not in self._cached_reasons:
            self._cached_reasons[key] = self._find_capacity_reason(job)
        return self._cached_reasons[key]

    def _find_capacity_reason(self, job: Job) -> WaitReason:
        needs = _needs_text(job.spec)
        capacity = self._context.capacity
        closed = [zone for zone, left in self._context.start_budget.items() if left <= 0]
        if closed and place_best_fit(capacity, job.spec, zones=closed):
            return WaitReason(
                "start_rate",
                f"the zones {', '.join(closed)} started enough for this second",
                needs,
            )
        if self._reservations:
            with self._reserved_as_free(self._reservations.values()):
                found = place_best_fit(capacity, job.spec)
            if found:
                reserved_jobs = tuple(self._reservations)
                return WaitReason(
                    "reserved_for_larger",
                    "the accelerators that fit are reserved for larger jobs that wait longer",
                    needs,
                    reserved_jobs,
                )
        return WaitReason("no_capacity", self._free_message, needs, self._context.ending_first)

    @cached_property
    def _free_message(self) -> str:
        capacity = self._context.capacity
        largest = max((largest_gang(racks) for racks in capacity.zones.values()), default=0)
        return (
            f"{capacity.free_count} accelerators are free, at most {largest} of them adjacent in "
            "one rack"
        )


def _shape_of(job: Job) -> tuple[int, int]:
    return (job.spec.members, job.spec.accelerators_per_member)


def _needs_text(spec: GangSpec) -> str:
    return (
        f"{spec.members} x {spec.accelerators_per_member} adjacent accelerators of one zone, "
        "in one rack where they fit"
    )
