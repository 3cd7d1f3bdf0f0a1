"""What a view means for the planner: free accelerators, slots, borrowers, costs, predicted ends."""

from __future__ import annotations

from collections import defaultdict
from functools import cached_property

from foxtailwell.core._allocations import Gang, Member
from foxtailwell.core._guarantees import (
    GuaranteePacking,
    MemberAllocation,
    pack_around,
    usable_workers,
)
from foxtailwell.core._jobs import GangSpec, Job, JobState
from foxtailwell.core._placement import Capacity, mask_of
from foxtailwell.core._plan import ClusterView
from foxtailwell.core._reservations import EndTimes

URGENT_TARGET_MS = 5_500
"""Work of a class with at most this target may stop borrowers that are not urgent."""

URGENT_CHECKPOINT_WAIT_S = 2.0
"""Longest wait for a checkpoint when urgent work needs the accelerators."""

STARTS_PER_ZONE_AND_S = 8
"""A zone that returns is not flooded: image pulls and checkpoint reads share its links."""

MOVE_OVERHEAD_S = 20.0
"""Time that a moved gang loses: checkpoint, stop, start and reading the checkpoint."""

MOVE_AFTER_S = 120.0
"""A gang is not moved again sooner than this after its start."""

MOVE_ATTEMPT_LIMIT = 4
"""Attempts after which a gang is no longer moved, so that it completes."""

RESTART_OVERHEAD_S = 30.0
"""Work lost by any stop, in seconds of all accelerators of the gang."""

CHECKPOINT_SHARE = 0.1
"""Share of the elapsed time that counts as lost for a gang that has a checkpoint."""

UNREPEATABLE_COST = 1e9
"""A gang that may not run again and has no checkpoint could be lost by a stop."""

WITHIN_GUARANTEE_COST = 1e6
"""A gang within its account's guarantee is stopped only when no other choice is left."""

HELD_BY_LIMIT = 8
"""Jobs or workers that a reason names."""

STOPPING = (JobState.CHECKPOINTING, JobState.STOPPING)

NO_SPEC = GangSpec(0, 0)


def free_capacity(view: ClusterView) -> Capacity:
    """Return the free accelerators of the workers that may get ordinary work.

    A worker whose quarantine has ended is still left out, because only a probe may start there.
    """
    quarantined = quarantined_workers(view)
    usable = usable_workers(view.configuration, view.workers)
    capacity = Capacity(w for w in usable if w.id not in quarantined)
    specs = {job.id: job.spec for job in view.jobs}
    for allocation in view.allocations.values():
        for gang in allocation.gangs.values():
            capacity.take(gang.members, specs.get(gang.job_id, NO_SPEC))
    return capacity


def quarantined_workers(view: ClusterView) -> dict[str, int]:
    """Return the end of the newest quarantine of each worker that is not cleared."""
    return {
        worker: until
        for allocation in view.allocations.values()
        for worker, until in allocation.quarantined.items()
    }


class Situation:
    """Facts of one view, computed when they are first needed."""

    def __init__(self, view: ClusterView) -> None:
        """Start from a view."""
        self.view = view
        self.now_ms = view.now_unix_ms
        self.jobs = {job.id: job for job in view.jobs}
        self.quarantined = quarantined_workers(view)
        self.gangs = [
            (zone, gang, self.jobs.get(gang.job_id))
            for zone, allocation in view.allocations.items()
            for gang in allocation.gangs.values()
        ]
        self.usable = usable_workers(view.configuration, view.workers)
        self.capacity = free_capacity(view)
        self.usage = self._count_usage()
        self.budget = self._start_budget()
        self.stopped: set[str] = set()

    def _count_usage(self) -> dict[str, int]:
        usage: dict[str, int] = defaultdict(int)
        holders = set()
        for _, gang, _ in self.gangs:
            holders.add(gang.job_id)
            usage[gang.account] += sum(len(m.accelerators) for m in gang.members)
        for job in self.view.jobs:
            # A preparing job may not have its accelerators in the zone's document yet.
            if job.state is JobState.PREPARING and job.id not in holders:
                usage[job.account] += job.spec.accelerators
        return usage

    def _start_budget(self) -> dict[str, int]:
        budget = dict.fromkeys(self.capacity.zones, STARTS_PER_ZONE_AND_S)
        since = self.now_ms - 1000
        for job in self.view.jobs:
            if job.zone in budget and (
                job.state is JobState.PREPARING
                or (job.state is JobState.RUNNING and job.started_unix_ms > since)
            ):
                budget[job.zone] -= 1
        return budget

    @cached_property
    def holdings(self) -> dict[str, list[MemberAllocation]]:
        """What running gangs hold, by usable worker."""
        holdings: dict[str, list[MemberAllocation]] = defaultdict(list)
        workers = self.capacity.workers
        for _, gang, job in self.gangs:
            spec = job.spec if job else NO_SPEC
            for member in gang.members:
                if member.worker in workers:
                    mask = mask_of(member.accelerators)
                    held = MemberAllocation(
                        gang.job_id, mask, spec.cores_per_member, spec.memory_gb_per_member
                    )
                    holdings[member.worker].append(held)
        return holdings

    @cached_property
    def packing(self) -> GuaranteePacking:
        """Slots of the guaranteed shapes around the running gangs, oldest first."""
        ordered = sorted(self._account_gangs, key=lambda g: (g.started_unix_ms, g.job_id))
        return pack_around(self.view.configuration, self.capacity, ordered, self._kept)

    @property
    def _kept(self) -> tuple[dict[str, int], dict[str, int]]:
        """Accelerators of gangs on several workers or within a guarantee, and of the latter."""
        both: dict[str, int] = {}
        within: dict[str, int] = {}
        for _, gang, _ in self.gangs:
            is_within = gang.job_id in self.within_guarantee
            if not is_within and len(gang.members) == 1:
                continue
            for member in gang.members:
                name, mask = member.worker, mask_of(member.accelerators)
                both[name] = both.get(name, 0) | mask
                if is_within:
                    within[name] = within.get(name, 0) | mask
        return both, within

    @cached_property
    def _account_gangs(self) -> list[Gang]:
        accounts = self.view.configuration.accounts
        return [
            gang
            for _, gang, job in self.gangs
            if (account := accounts.get(gang.account)) is not None
            and account.guarantees
            and (job is None or job.state not in STOPPING)
        ]

    @cached_property
    def slots(self) -> dict[str, dict[str, int]]:
        """Accelerators of the slots by account and worker."""
        slots: dict[str, dict[str, int]] = {}
        for slot in self.packing.slots:
            own = slots.setdefault(slot.account, {})
            for member in slot.members:
                own[member.worker] = own.get(member.worker, 0) | mask_of(member.accelerators)
        return slots

    @cached_property
    def covered(self) -> set[str]:
        """Jobs whose gang lies inside the slots of its own account."""
        return {
            gang.job_id
            for gang in self._account_gangs
            if (own := self.slots.get(gang.account)) is not None
            and all(not mask_of(m.accelerators) & ~own.get(m.worker, 0) for m in gang.members)
        }

    @cached_property
    def room(self) -> dict[str, dict[str, int]]:
        """Slots of each account without the gangs of the account itself."""
        room = {account: dict(masks) for account, masks in self.slots.items()}
        for gang in self._account_gangs:
            own = room.get(gang.account)
            if own and gang.job_id in self.covered:
                for member in gang.members:
                    own[member.worker] &= ~mask_of(member.accelerators)
        return room

    @cached_property
    def _guaranteed(self) -> dict[str, int]:
        return {
            account.name: sum(s.accelerators * s.count for s in account.guarantees)
            for account in self.view.configuration.accounts.values()
        }

    def entitled_room(self, job: Job) -> dict[str, int] | None:
        """Return the accelerators that the job may reclaim under its account's guarantee.

        A job of exactly a guaranteed shape may always use an unused slot. A smaller one may
        only while the account as a whole is below its guarantee; otherwise two accounts that both
        run small jobs outside their slots stop each other's jobs in turn.
        """
        room = self.room.get(job.account)
        if not room:
            return None
        size = job.spec.accelerators
        shapes = self.view.configuration.accounts[job.account].guarantees
        if self.usage.get(job.account, 0) + size > self._guaranteed[job.account] and not any(
            shape.accelerators == size for shape in shapes
        ):
            return None
        return room if sum(m.bit_count() for m in room.values()) >= size else None

    @cached_property
    def within_guarantee(self) -> set[str]:
        """Jobs that are not beyond their account's guarantee, oldest first."""
        left = dict(self._guaranteed)
        within = set()
        for gang in sorted(self._account_gangs, key=lambda g: (g.started_unix_ms, g.job_id)):
            count = sum(len(m.accelerators) for m in gang.members)
            if count <= left.get(gang.account, 0):
                left[gang.account] -= count
                within.add(gang.job_id)
        return within

    @cached_property
    def costs(self) -> dict[str, float]:
        """Work lost when a borrower stops; gangs that are stopping already cost nothing."""
        costs: dict[str, float] = {}
        for _, _, job in self.gangs:
            if job is None:
                continue
            if job.state in STOPPING or job.id in self.stopped:
                costs[job.id] = 0.0
            elif job.state is JobState.RUNNING and job.id not in self.covered:
                costs[job.id] = self._cost_of(job)
        return costs

    def _cost_of(self, job: Job) -> float:
        elapsed_s = max(0.0, (self.now_ms - job.started_unix_ms) / 1000)
        lost_s = elapsed_s * (CHECKPOINT_SHARE if job.checkpoint else 1.0) + RESTART_OVERHEAD_S
        cost = job.spec.accelerators * lost_s
        if not job.idempotent and not job.checkpoint:
            cost += UNREPEATABLE_COST
        if job.id in self.within_guarantee:
            cost += WITHIN_GUARANTEE_COST
        return cost

    @cached_property
    def urgent_costs(self) -> dict[str, float]:
        """Borrowers that urgent work beyond its guarantee may stop."""
        return {
            job_id: cost
            for job_id, cost in self.costs.items()
            if cost == 0.0
            or (job_id not in self.within_guarantee and not self.is_urgent(self.jobs[job_id]))
        }

    @cached_property
    def move_costs(self) -> dict[str, float]:
        """Gangs that may be moved; each costs the overhead of all its accelerators."""
        movable = {}
        for job_id, cost in self.costs.items():
            job = self.jobs[job_id]
            if cost == 0.0:
                movable[job_id] = 0.0
            elif (
                self.now_ms - job.started_unix_ms >= MOVE_AFTER_S * 1000
                and self.remaining_s[job_id] > 2 * MOVE_OVERHEAD_S
                and job.attempt <= MOVE_ATTEMPT_LIMIT
                and job.id not in self.within_guarantee
                and not self.is_urgent(job)
            ):
                movable[job_id] = MOVE_OVERHEAD_S * job.spec.accelerators
        return movable

    @cached_property
    def remaining_s(self) -> dict[str, float]:
        """Predicted remaining time by job that holds accelerators."""
        remaining = {}
        predicted = self.view.run_time_s
        for _, gang, job in self.gangs:
            if job is None or job.state in STOPPING or job.id in self.stopped:
                remaining[gang.job_id] = URGENT_CHECKPOINT_WAIT_S
                continue
            elapsed_s = max(0.0, (self.now_ms - job.started_unix_ms) / 1000)
            left_s = predicted.get(job.id, job.declared_run_s) - elapsed_s
            # A gang past its prediction is expected to run on in proportion to its age.
            remaining[job.id] = left_s if left_s > 0 else 10.0 + elapsed_s / 4
        return remaining

    @cached_property
    def ends(self) -> EndTimes:
        """Predicted ends by rack."""
        return EndTimes(self.capacity, self.holdings, self.remaining_s)

    @cached_property
    def ending_first(self) -> tuple[str, ...]:
        """Jobs that are predicted to end first."""
        order = sorted(self.remaining_s, key=lambda j: (self.remaining_s[j], j))
        return tuple(order[:HELD_BY_LIMIT])

    @cached_property
    def largest_worker(self) -> int:
        """Accelerators of the largest worker."""
        return max((w.accelerators for w in self.view.workers), default=0)

    def is_urgent(self, job: Job) -> bool:
        """Whether the job's class has to start within seconds."""
        work_class = self.view.configuration.classes.get(job.work_class)
        return work_class is not None and 0 < work_class.target_ms <= URGENT_TARGET_MS

    def due(self, job: Job) -> tuple[int, int, str]:
        """Return the order of a job by submission plus class target."""
        work_class = self.view.configuration.classes.get(job.work_class)
        target_ms = work_class.target_ms if work_class else 0
        return (job.submitted_unix_ms + target_ms, job.submitted_unix_ms, job.id)

    def mark_stopped(self, job_id: str) -> None:
        """Treat a gang as stopping, so that its accelerators can be promised at no cost."""
        self.stopped.add(job_id)
        for costs in (self.costs, self.urgent_costs, self.move_costs):
            costs[job_id] = 0.0

    def take(self, job: Job, members: tuple[Member, ...]) -> None:
        """Take accelerators for a job, also out of the slots of its account."""
        self.capacity.take(members, job.spec)
        room = self.room.get(job.account)
        for member in members:
            if room is not None and member.worker in room:
                room[member.worker] &= ~mask_of(member.accelerators)

    def promise(self, job: Job, members: tuple[Member, ...]) -> None:
        """Keep accelerators of stopping gangs for one job."""
        self.take(job, members)
        for member in members:
            mask = mask_of(member.accelerators)
            held = self.holdings.get(member.worker, [])
            self.holdings[member.worker] = [h._replace(mask=h.mask & ~mask) for h in held]
