"""The planner: which gangs start, stop or fail, and why the rest waits."""

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
from foxtailwell.core._quarantine import has_exhausted_workers, quarantine_until_ms
from foxtailwell.core._reservations import Reservation
from foxtailwell.core._situation import (
    HELD_BY_LIMIT,
    MOVE_OVERHEAD_S,
    NO_SPEC,
    URGENT_CHECKPOINT_WAIT_S,
    Situation,
)
from foxtailwell.core._submissions import largest_member_count

CHECKPOINT_WAIT_S = 30.0
"""Longest wait for a checkpoint when no urgent work needs the accelerators."""

RESERVATION_AGE_S = 20.0
"""Waiting time after which a large gang gets a reservation."""

RESERVATION_LIMIT = 4
"""Reservations at a time; more would leave little room for backfill."""

_Placement = tuple[str, tuple[Member, ...]]
_STOPPABLE = (JobState.PREPARING, JobState.RUNNING)


DISPLACEMENT_SHARE = 1.0
"""Displaced gangs may hold at most this share of what the large gang takes."""

RESERVATION_HORIZON_SHARE = 0.1
"""Accelerators are held for at most this share of the time that the gang has waited."""


@dataclass(frozen=True, slots=True)
class PlannerRules:
    """Optional rules, so that a benchmark can measure what each of them changes."""

    has_reservations: bool = True
    has_backfill: bool = True
    has_moves: bool = True
    has_displacement: bool = True
    reservation_age_s: float = RESERVATION_AGE_S
    reservation_limit: int = RESERVATION_LIMIT
    displacement_share: float = DISPLACEMENT_SHARE
    reservation_horizon_share: float = RESERVATION_HORIZON_SHARE


def plan(view: ClusterView, rules: PlannerRules | None = None) -> Plan:
    """Decide what starts, stops and fails now.

    Args:
        view: Everything that the decisions depend on.
        rules: Optional rules; all apply when omitted.

    Returns:
        Decisions in the order in which to carry them out, and a reason for each waiting job.
    """
    return _Round(Situation(view), rules or PlannerRules()).run()


def is_reclaimable(view: ClusterView) -> bool:
    """Whether every guaranteed shape can be had from free accelerators and borrowers."""
    return find_reclaimable_slots(view).is_complete


def find_reclaimable_slots(view: ClusterView) -> GuaranteePacking:
    """Return the slots that keep the guaranteed shapes reclaimable, or what is missing."""
    return Situation(view).packing


class _Round:
    """Decisions of one plan while they are made."""

    def __init__(self, facts: Situation, rules: PlannerRules) -> None:
        self._facts = facts
        self._rules = rules
        self._configuration = facts.view.configuration
        self._decisions: list[Decision] = []
        self._waiting: dict[str, WaitReason] = {}
        self._settled: set[str] = set()
        self._reservations: dict[str, Reservation] = {}
        self._given: dict[str, int] = {}
        # Capacity only shrinks while a plan is made, so what failed once fails again.
        self._failed: set[tuple[object, ...]] = set()
        self._reasons: dict[tuple[object, ...], WaitReason] = {}
        self._fit_messages: dict[GangSpec, str | None] = {}

    def run(self) -> Plan:
        self._quarantine_workers()
        self._stop_running()
        waiting = [j for j in self._facts.view.jobs if j.state is JobState.WAITING]
        self._settle(waiting)
        self._probe_workers(waiting)
        ordered = self._ordered(waiting)
        self._reserve(ordered)
        for job in ordered:
            self._consider(job)
        return Plan(tuple(self._decisions), self._waiting)

    def _quarantine_workers(self) -> None:
        facts = self._facts
        zones = {w.id: w.zone for w in facts.view.workers}
        for name, failures in sorted(facts.view.failing_workers.items()):
            until = quarantine_until_ms(failures, facts.quarantined.get(name), facts.now_ms)
            if until is None or name not in zones:
                continue
            self._decisions.append(QuarantineWorker(zones[name], name, until))
            facts.quarantined[name] = until
            worker = facts.capacity.workers.get(name)
            if worker is not None:
                everything = Member(name, tuple(range(worker.accelerators)))
                facts.capacity.take([everything], NO_SPEC)

    def _stop_running(self) -> None:
        facts = self._facts
        leaving = {w.id for w in facts.view.workers if w.state == "leaving"}
        leaving |= set(self._configuration.leaving_instances)
        stops: list[tuple[tuple[object, ...], Job, str, StopReason]] = []
        for zone, gang, job in facts.gangs:
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
                is_beyond = reason != "cancel" and job.id not in facts.within_guarantee
                stops.append(((is_beyond, *facts.due(job)), job, zone, reason))
        for _, job, zone, reason in sorted(stops, key=lambda s: s[0]):
            wait_s = 0.0 if reason == "cancel" else CHECKPOINT_WAIT_S
            self._stop(job.id, zone, reason, wait_s)

    def _stop(self, job_id: str, zone: str, reason: StopReason, wait_s: float) -> None:
        self._decisions.append(StopGang(job_id, zone, reason, wait_s))
        self._facts.mark_stopped(job_id)

    def _settle(self, waiting: list[Job]) -> None:
        """Settle jobs that need no placement."""
        for job in waiting:
            if job.cancel_requested:
                self._waiting[job.id] = WaitReason("cancelled", "a caller cancelled the job")
            elif has_exhausted_workers(job, self._facts.quarantined):
                names = ", ".join(sorted(set(job.failed_workers))[:HELD_BY_LIMIT])
                self._decisions.append(FailJob(job.id, f"the job failed on the workers {names}"))
            elif (message := self._never_fits(job)) is not None:
                self._decisions.append(FailJob(job.id, message))
            else:
                continue
            self._settled.add(job.id)

    def _never_fits(self, job: Job) -> str | None:
        """Return what would fit when the gang is larger than any zone.

        Workers may be missing from the instance list while a zone is lost, so a job that ran
        before does not end, and no job ends while a zone with an allocation has no workers.
        """
        if job.attempt > 0 or job.spec.members < 1 or job.spec.accelerators_per_member < 1:
            return None
        if job.spec not in self._fit_messages:
            self._fit_messages[job.spec] = self._fit_message(job.spec)
        return self._fit_messages[job.spec]

    def _fit_message(self, spec: GangSpec) -> str | None:
        counts = dict.fromkeys(self._facts.view.allocations, 0)
        known = set()
        for worker in self._facts.view.workers:
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
                f"worker has {self._facts.largest_worker} accelerators"
            )
        return (
            f"{spec.members} members of {spec.accelerators_per_member} accelerators never fit; "
            f"at most {counts[zone]} such members fit, in zone {zone}"
        )

    def _probe_workers(self, waiting: list[Job]) -> None:
        """Start one small repeatable job on each worker whose quarantine has ended."""
        facts = self._facts
        ended = {w for w, until in facts.quarantined.items() if until <= facts.now_ms}
        if not ended:
            return
        ended -= {m.worker for _, gang, _ in facts.gangs for m in gang.members}
        for worker in sorted(facts.usable, key=lambda w: w.id):
            if worker.id in ended and facts.budget.get(worker.zone, 0) > 0:
                fitting = [j for j in waiting if self._may_probe(j, worker.id, worker.accelerators)]
                if fitting:
                    job = min(fitting, key=lambda j: (j.spec.accelerators, *facts.due(j)))
                    indexes = tuple(range(job.spec.accelerators))
                    self._start(job, worker.zone, (Member(worker.id, indexes),))

    def _may_probe(self, job: Job, worker: str, accelerators: int) -> bool:
        return (
            job.id not in self._settled
            and job.spec.members == 1
            and job.spec.accelerators <= accelerators
            and not job.spec.cores_per_member
            and not job.spec.memory_gb_per_member
            and job.idempotent
            and not self._facts.is_urgent(job)
            and worker not in job.failed_workers
            and not self._is_over_quota(job)
        )

    def _ordered(self, waiting: list[Job]) -> list[Job]:
        """Return the jobs to place: guarantees, urgent work, aged large gangs, then by target."""
        facts = self._facts

        def order(job: Job) -> tuple[object, ...]:
            is_entitled = facts.entitled_room(job) is not None
            is_aged = self._rules.has_reservations and self._is_aged(job)
            return (not is_entitled, not facts.is_urgent(job), not is_aged, *facts.due(job))

        return sorted((j for j in waiting if j.id not in self._settled), key=order)

    def _is_aged(self, job: Job) -> bool:
        age_s = (self._facts.now_ms - job.submitted_unix_ms) / 1000
        is_large = job.spec.accelerators >= self._facts.largest_worker
        return is_large and age_s >= self._rules.reservation_age_s

    def _is_over_quota(self, job: Job) -> bool:
        account = self._configuration.accounts.get(job.account)
        if account is None or account.quota_accelerators <= 0:
            return False
        used = self._facts.usage.get(job.account, 0)
        return used + job.spec.accelerators > account.quota_accelerators

    def _consider(self, job: Job) -> None:
        """Start one job, or make room for it, or say why it waits."""
        if self._is_over_quota(job):
            self._waiting[job.id] = self._quota_reason(job)
            return
        if not self._facts.capacity.zones:
            self._waiting[job.id] = WaitReason("no_zone", "no zone is in service", "a zone back")
            return
        with self._avoiding(self._avoidable_workers(job)):
            held = self._reservations.get(job.id)
            if held is None:
                self._start_or_make_room(job)
            else:
                self._start_reserved(job, held)

    def _avoidable_workers(self, job: Job) -> tuple[str, ...]:
        """Return the workers on which the job failed, as long as the others could hold it.

        In a small fleet a job may need a worker on which it failed once; it would wait for ever.
        """
        if not job.failed_workers:
            return ()
        excluded = {*job.failed_workers, *self._facts.quarantined}
        others = [w for w in self._facts.usable if w.id not in excluded]
        fits = largest_member_count(job.spec, others) >= job.spec.members
        return job.failed_workers if fits else ()

    def _start_or_make_room(self, job: Job) -> None:
        found = self._place(job)
        if found is not None:
            self._start(job, *found)
        elif not self._make_room(job):
            self._waiting[job.id] = self._capacity_reason(job)

    def _start_reserved(self, job: Job, held: Reservation) -> None:
        """Start an aged large gang, move others out of its way, or keep its reservation."""
        zones = self._open_zones()
        with self._lent([held]):
            found = place_best_fit(self._facts.capacity, job.spec, zones=zones)
            moved = found is None and self._rules.has_moves and self._move(job, held.due_in_s)
        if found is not None:
            self._start(job, *found)
        if found is not None or moved:
            self._drop_reservation(held)
            return
        self._waiting[job.id] = WaitReason(
            "reserved",
            f"accelerators in zone {held.zone} are reserved, predicted to be free in "
            f"{held.due_in_s:.0f} s",
            _needs(job.spec),
            self._holders(held.members),
        )

    @contextmanager
    def _avoiding(self, names: Iterable[str]) -> Iterator[None]:
        """Hide the free accelerators of workers on which the job failed."""
        hidden = []
        for name in set(names):
            worker = self._facts.capacity.workers.get(name)
            if worker is not None and worker.free:
                hidden.append(Member(name, indexes_of(worker.free)))
        self._facts.capacity.take(hidden, NO_SPEC)
        try:
            yield
        finally:
            self._facts.capacity.release(hidden, NO_SPEC)

    def _open_zones(self) -> list[str]:
        return [zone for zone, left in self._facts.budget.items() if left > 0]

    def _place(self, job: Job) -> _Placement | None:
        """Return a placement on free accelerators, first in the slots of the account."""
        zones = self._open_zones()
        room = self._facts.entitled_room(job)
        if room:
            own = choose_preemption(
                self._facts.capacity, {}, {}, job.spec, within=room, zones=zones
            )
            if own is not None:
                return own.zone, own.members
        key = (job.spec, job.failed_workers)
        if key in self._failed:
            return self._backfill(job, zones)
        found = place_best_fit(self._facts.capacity, job.spec, zones=zones)
        if found is None:
            self._failed.add(key)
            return self._backfill(job, zones)
        return found

    def _backfill(self, job: Job, zones: list[str]) -> _Placement | None:
        """Return a placement on reserved accelerators that may be lent to the job.

        Urgent work and guarantees may use them at once; other work must be predicted to end
        before the reservation is due.
        """
        lenders = self._lenders(job)
        key = (job.spec, job.failed_workers, tuple(r.job_id for r in lenders))
        if not lenders or key in self._failed:
            return None
        with self._lent(lenders):
            found = place_best_fit(self._facts.capacity, job.spec, zones=zones)
        if found is None:
            self._failed.add(key)
            return None
        for member in found[1]:
            mask = mask_of(member.accelerators)
            for reservation in lenders:
                if member.worker in reservation.free:
                    reservation.free[member.worker] &= ~mask
        return found

    def _lenders(self, job: Job) -> list[Reservation]:
        holding = [r for r in self._reservations.values() if any(r.free.values())]
        if self._facts.is_urgent(job) or self._facts.entitled_room(job):
            return holding
        if not self._rules.has_backfill:
            return []
        run_s = self._facts.view.run_time_s.get(job.id, job.declared_run_s)
        return [r for r in holding if r.due_in_s >= run_s]

    @contextmanager
    def _lent(self, reservations: Iterable[Reservation]) -> Iterator[None]:
        """Show the reserved free accelerators as free."""
        free = [
            Member(worker, indexes_of(mask))
            for reservation in reservations
            for worker, mask in reservation.free.items()
            if mask
        ]
        self._facts.capacity.release(free, NO_SPEC)
        try:
            yield
        finally:
            self._facts.capacity.take(free, NO_SPEC)

    def _drop_reservation(self, held: Reservation) -> None:
        """Give up a reservation; accelerators that were taken meanwhile stay taken."""
        del self._reservations[held.job_id]
        for worker, mask in held.free.items():
            mask &= ~self._given.get(worker, 0)
            self._facts.capacity.release([Member(worker, indexes_of(mask))], NO_SPEC)
        self._failed.clear()

    def _start(self, job: Job, zone: str, members: tuple[Member, ...]) -> None:
        self._facts.take(job, members)
        self._note_given(members)
        self._facts.usage[job.account] = (
            self._facts.usage.get(job.account, 0) + job.spec.accelerators
        )
        self._facts.budget[zone] -= 1
        self._settled.add(job.id)
        self._decisions.append(StartGang(job.id, zone, members))

    def _make_room(self, job: Job) -> bool:
        """Preemption for a job that does not fit; False when nothing applies."""
        room = self._facts.entitled_room(job)
        zones = self._open_zones()
        if room and self._reclaim(job, self._facts.costs, zones, room):
            return True
        is_urgent = self._facts.is_urgent(job)
        return is_urgent and self._reclaim(job, self._facts.urgent_costs, zones, None)

    def _note_given(self, members: Iterable[Member]) -> None:
        for member in members:
            mask = mask_of(member.accelerators)
            self._given[member.worker] = self._given.get(member.worker, 0) | mask

    def _reclaim(
        self,
        job: Job,
        costs: Mapping[str, float],
        zones: list[str],
        within: Mapping[str, int] | None,
    ) -> bool:
        facts = self._facts
        key = ("reclaim", job.spec, job.failed_workers, None if within is None else job.account)
        if key in self._failed:
            return False
        found = choose_preemption(
            facts.capacity, facts.holdings, costs, job.spec, within=within, zones=zones
        )
        if found is None:
            self._failed.add(key)
            return False
        wait_s = URGENT_CHECKPOINT_WAIT_S if facts.is_urgent(job) else CHECKPOINT_WAIT_S
        self._vacate(job, found, "reclaim", wait_s)
        self._waiting[job.id] = WaitReason(
            "reclaiming",
            f"{len(found.job_ids)} borrowing jobs are being stopped in zone {found.zone}",
            _needs(job.spec),
            found.job_ids[:HELD_BY_LIMIT],
        )
        return True

    def _vacate(self, job: Job, found: Preemption, reason: StopReason, wait_s: float) -> None:
        for job_id in found.job_ids:
            victim = self._facts.jobs[job_id]
            if victim.state is JobState.RUNNING and job_id not in self._facts.stopped:
                self._stop(job_id, found.zone, reason, wait_s)
        self._facts.promise(job, found.members)
        self._note_given(found.members)

    def _reserve(self, ordered: list[Job]) -> None:
        """Reserve accelerators for the first aged large gangs, before other work takes them."""
        facts = self._facts
        reserved: dict[str, int] = {}
        for job in ordered:
            if len(self._reservations) >= self._rules.reservation_limit:
                return
            if not self._may_reserve(job):
                continue
            earliest = facts.ends.earliest(job.spec, list(facts.capacity.zones), reserved)
            if earliest is None:
                continue
            due_in_s, zone, members = earliest
            age_s = (facts.now_ms - job.submitted_unix_ms) / 1000
            holds = due_in_s <= self._rules.reservation_horizon_share * age_s
            free: dict[str, int] = {}
            for member in members:
                mask = mask_of(member.accelerators)
                reserved[member.worker] = reserved.get(member.worker, 0) | mask
                mask &= facts.capacity.workers[member.worker].free if holds else 0
                free[member.worker] = free.get(member.worker, 0) | mask
            held = [Member(worker, indexes_of(mask)) for worker, mask in free.items() if mask]
            facts.capacity.take(held, NO_SPEC)
            self._reservations[job.id] = Reservation(job.id, zone, members, due_in_s, free)

    def _may_reserve(self, job: Job) -> bool:
        return (
            self._rules.has_reservations
            and self._is_aged(job)
            and not self._is_over_quota(job)
            and not self._facts.is_urgent(job)
            and not job.failed_workers
            and self._facts.entitled_room(job) is None
        )

    def _holders(self, members: Iterable[Member]) -> tuple[str, ...]:
        found: dict[str, None] = {}
        for member in members:
            mask = mask_of(member.accelerators)
            for holding in self._facts.holdings.get(member.worker, ()):
                if holding.mask & mask:
                    found[holding.job_id] = None
        return tuple(found)[:HELD_BY_LIMIT]

    def _move(self, job: Job, due_in_s: float) -> bool:
        """Move gangs that fit elsewhere when this saves more accelerator time than it costs."""
        facts = self._facts
        if due_in_s <= MOVE_OVERHEAD_S:
            return False
        zones = self._open_zones()
        smaller = {
            job_id: cost
            for job_id, cost in facts.move_costs.items()
            if facts.jobs[job_id].spec.accelerators < job.spec.accelerators
        }
        found = choose_preemption(facts.capacity, facts.holdings, smaller, job.spec, zones=zones)
        if found is None or found.cost >= job.spec.accelerators * due_in_s:
            return False
        if not self._fit_elsewhere(found) and not self._may_displace(job, found):
            return False
        self._vacate(job, found, "move", CHECKPOINT_WAIT_S)
        self._waiting[job.id] = WaitReason(
            "moving",
            f"{len(found.job_ids)} jobs are being moved out of its way in zone {found.zone}",
            _needs(job.spec),
            found.job_ids[:HELD_BY_LIMIT],
        )
        return True

    def _may_displace(self, job: Job, found: Preemption) -> bool:
        """Whether gangs may return to the queue, which keeps their work by checkpoint.

        They may not hold more than the large gang takes, or accelerators would lie idle.
        """
        sizes = (self._facts.jobs[job_id].spec.accelerators for job_id in found.job_ids)
        return self._rules.has_displacement and (
            sum(sizes) <= self._rules.displacement_share * job.spec.accelerators
        )

    def _fit_elsewhere(self, found: Preemption) -> bool:
        """Whether every gang that would move fits on accelerators that are free now."""
        capacity: Capacity = self._facts.capacity
        workers = capacity.workers
        taken = [
            Member(m.worker, indexes_of(mask_of(m.accelerators) & workers[m.worker].free))
            for m in found.members
        ]
        capacity.take(taken, NO_SPEC)
        fits = True
        for job_id in found.job_ids:
            if job_id in self._facts.stopped or not fits:
                continue
            placed = place_best_fit(capacity, GangSpec(*_size(self._facts.jobs[job_id])))
            fits = placed is not None
            if placed is not None:
                capacity.take(placed[1], NO_SPEC)
                taken += placed[1]
        capacity.release(taken, NO_SPEC)
        return fits

    def _quota_reason(self, job: Job) -> WaitReason:
        quota = self._configuration.accounts[job.account].quota_accelerators
        used = self._facts.usage.get(job.account, 0)
        own = [gang.job_id for _, gang, _ in self._facts.gangs if gang.account == job.account]
        return WaitReason(
            "over_quota",
            f"account {job.account} uses {used} of its {quota} accelerators",
            f"{job.spec.accelerators} accelerators within the quota",
            tuple(own[:HELD_BY_LIMIT]),
        )

    def _capacity_reason(self, job: Job) -> WaitReason:
        key = (job.spec, job.failed_workers)
        if key not in self._reasons:
            self._reasons[key] = self._find_reason(job)
        return self._reasons[key]

    def _find_reason(self, job: Job) -> WaitReason:
        needs = _needs(job.spec)
        capacity = self._facts.capacity
        closed = [zone for zone, left in self._facts.budget.items() if left <= 0]
        if closed and place_best_fit(capacity, job.spec, zones=closed):
            return WaitReason(
                "start_rate", f"the zones {', '.join(closed)} started enough for this second", needs
            )
        if self._reservations:
            with self._lent(self._reservations.values()):
                found = place_best_fit(capacity, job.spec)
            if found:
                holders = tuple(self._reservations)
                return WaitReason(
                    "reserved_for_larger",
                    "the accelerators that fit are reserved for larger jobs that wait longer",
                    needs,
                    holders,
                )
        return WaitReason("no_capacity", self._free_message, needs, self._facts.ending_first)

    @cached_property
    def _free_message(self) -> str:
        capacity = self._facts.capacity
        largest = max((largest_gang(racks) for racks in capacity.zones.values()), default=0)
        return (
            f"{capacity.free_count} accelerators are free, at most {largest} of them adjacent in "
            "one rack"
        )


def _size(job: Job) -> tuple[int, int]:
    return (job.spec.members, job.spec.accelerators_per_member)


def _needs(spec: GangSpec) -> str:
    return (
        f"{spec.members} x {spec.accelerators_per_member} adjacent accelerators of one zone, "
        "in one rack where they fit"
    )
