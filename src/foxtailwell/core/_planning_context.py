"""Values that the planner derives from a `ClusterView`.

These are free capacity, guarantee slots, the cost of stopping each gang and predicted end times.
"""

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
"""Classes with a target up to this are urgent: their jobs may stop borrowers that are not."""

URGENT_CHECKPOINT_WAIT_S = 2.0
"""Maximum time for a checkpoint when an urgent job needs the accelerators."""

STARTS_PER_ZONE_PER_S = 8
"""Limits starts after a zone returns, as image pulls and checkpoint reads share its links."""

MOVE_OVERHEAD_S = 20.0
"""Time that a move costs a gang: write a checkpoint, stop, start and read the checkpoint."""

MOVE_AFTER_S = 120.0
"""Minimum run time of a gang since its last start before it may be moved."""

MOVE_ATTEMPT_LIMIT = 4
"""Maximum attempts of a gang that may still be moved, so that each job eventually completes."""

RESTART_OVERHEAD_S = 30.0
"""Run time lost by any stop, for all accelerators of the gang."""

CHECKPOINT_SHARE = 0.1
"""Share of the elapsed time assumed lost when a gang with a checkpoint stops."""

NON_IDEMPOTENT_COST = 1e9
"""Added in accelerator-seconds for a gang that a stop could lose: no checkpoint, no rerun."""

WITHIN_GUARANTEE_COST = 1e6
"""Added in accelerator-seconds within a guarantee, so that such a gang is stopped last."""

REASON_NAME_LIMIT = 8
"""Maximum number of jobs or workers named in a reason."""

STOPPING = (JobState.CHECKPOINTING, JobState.STOPPING)

EMPTY_SPEC = GangSpec(0, 0)


def free_capacity(view: ClusterView) -> Capacity:
    """Return the free accelerators of usable workers that are not quarantined.

    A worker whose quarantine has expired stays excluded, because only a probe may start there.
    """
    quarantined = quarantined_workers(view)
    usable = usable_workers(view.configuration, view.workers)
    capacity = Capacity(w for w in usable if w.id not in quarantined)
    specs = {job.id: job.spec for job in view.jobs}
    for allocation in view.allocations.values():
        for gang in allocation.gangs.values():
            capacity.take(gang.members, specs.get(gang.job_id, EMPTY_SPEC))
    return capacity


def quarantined_workers(view: ClusterView) -> dict[str, int]:
    """Return the quarantine end, in Unix ms, of each worker whose quarantine was not lifted."""
    return {
        worker: until
        for allocation in view.allocations.values()
        for worker, until in allocation.quarantined.items()
    }


class PlanningContext:
    """State of one planning round: derived values, computed lazily, and changes by decisions."""

    def __init__(self, view: ClusterView) -> None:
        """Take the view of one planning round; the view itself is not modified."""
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
        self.start_budget = self._count_start_budget()
        self.stopped: set[str] = set()

    def _count_usage(self) -> dict[str, int]:
        usage: dict[str, int] = defaultdict(int)
        with_gang = set()
        for _, gang, _ in self.gangs:
            with_gang.add(gang.job_id)
            usage[gang.account] += sum(len(m.accelerators) for m in gang.members)
        for job in self.view.jobs:
            # The zone's allocation document may not list a preparing job yet.
            if job.state is JobState.PREPARING and job.id not in with_gang:
                usage[job.account] += job.spec.accelerators
        return usage

    def _count_start_budget(self) -> dict[str, int]:
        budget = dict.fromkeys(self.capacity.zones, STARTS_PER_ZONE_PER_S)
        since = self.now_ms - 1000
        for job in self.view.jobs:
            if job.zone in budget and (
                job.state is JobState.PREPARING
                or (job.state is JobState.RUNNING and job.started_unix_ms > since)
            ):
                budget[job.zone] -= 1
        return budget

    @cached_property
    def worker_allocations(self) -> dict[str, list[MemberAllocation]]:
        """Resources allocated to running gangs, by usable worker."""
        worker_allocations: dict[str, list[MemberAllocation]] = defaultdict(list)
        workers = self.capacity.workers
        for _, gang, job in self.gangs:
            spec = job.spec if job else EMPTY_SPEC
            for member in gang.members:
                if member.worker in workers:
                    mask = mask_of(member.accelerators)
                    allocation = MemberAllocation(
                        gang.job_id, mask, spec.cores_per_member, spec.memory_gb_per_member
                    )
                    worker_allocations[member.worker].append(allocation)
        return worker_allocations

    @cached_property
    def packing(self) -> GuaranteePacking:
        """Slots for the guaranteed shapes; the longest-running gangs are covered first."""
        ordered = sorted(self._account_gangs, key=lambda g: (g.started_unix_ms, g.job_id))
        return pack_around(self.view.configuration, self.capacity, ordered, self._protected)

    @property
    def _protected(self) -> tuple[dict[str, int], dict[str, int]]:
        """Masks by worker: multi-worker gangs or gangs within a guarantee, then only the latter."""
        protected: dict[str, int] = {}
        within: dict[str, int] = {}
        for _, gang, _ in self.gangs:
            is_within = gang.job_id in self.within_guarantee
            if not is_within and len(gang.members) == 1:
                continue
            for member in gang.members:
                name, mask = member.worker, mask_of(member.accelerators)
                protected[name] = protected.get(name, 0) | mask
                if is_within:
                    within[name] = within.get(name, 0) | mask
        return protected, within

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
        """Masks of the guaranteed slots by account and worker."""
        slots: dict[str, dict[str, int]] = {}
        for slot in self.packing.slots:
            own = slots.setdefault(slot.account, {})
            for member in slot.members:
                own[member.worker] = own.get(member.worker, 0) | mask_of(member.accelerators)
        return slots

    @cached_property
    def covered_jobs(self) -> set[str]:
        """Jobs whose gang runs entirely inside the slots of its own account."""
        return {
            gang.job_id
            for gang in self._account_gangs
            if (own := self.slots.get(gang.account)) is not None
            and all(not mask_of(m.accelerators) & ~own.get(m.worker, 0) for m in gang.members)
        }

    @cached_property
    def unused_slots(self) -> dict[str, dict[str, int]]:
        """Parts of the slots that the account's own gangs do not use, by account and worker."""
        unused_slots = {account: dict(masks) for account, masks in self.slots.items()}
        for gang in self._account_gangs:
            own = unused_slots.get(gang.account)
            if own and gang.job_id in self.covered_jobs:
                for member in gang.members:
                    own[member.worker] &= ~mask_of(member.accelerators)
        return unused_slots

    @cached_property
    def _guaranteed(self) -> dict[str, int]:
        return {
            account.name: sum(s.accelerators * s.count for s in account.guarantees)
            for account in self.view.configuration.accounts.values()
        }

    def reclaimable_slots(self, job: Job) -> dict[str, int] | None:
        """Return masks by worker that the job may reclaim under its account's guarantee, or None.

        A job with exactly a guaranteed shape may always use an unused slot. Others may only while
        the account is below its guarantee; otherwise two accounts that both run small jobs outside
        their slots would keep stopping each other's jobs.
        """
        unused_slots = self.unused_slots.get(job.account)
        if not unused_slots:
            return None
        size = job.spec.accelerators
        shapes = self.view.configuration.accounts[job.account].guarantees
        if self.usage.get(job.account, 0) + size > self._guaranteed[job.account] and not any(
            shape.accelerators == size for shape in shapes
        ):
            return None
        return unused_slots if sum(m.bit_count() for m in unused_slots.values()) >= size else None

    @cached_property
    def within_guarantee(self) -> set[str]:
        """Jobs within their account's guarantee, counted from the longest-running one."""
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
        """Work in accelerator-seconds lost if a gang is stopped; 0 for gangs already stopping."""
        costs: dict[str, float] = {}
        for _, _, job in self.gangs:
            if job is None:
                continue
            if job.state in STOPPING or job.id in self.stopped:
                costs[job.id] = 0.0
            elif job.state is JobState.RUNNING and job.id not in self.covered_jobs:
                costs[job.id] = self._cost_of(job)
        return costs

    def _cost_of(self, job: Job) -> float:
        elapsed_s = max(0.0, (self.now_ms - job.started_unix_ms) / 1000)
        lost_s = elapsed_s * (CHECKPOINT_SHARE if job.checkpoint else 1.0) + RESTART_OVERHEAD_S
        cost = job.spec.accelerators * lost_s
        if not job.idempotent and not job.checkpoint:
            cost += NON_IDEMPOTENT_COST
        if job.id in self.within_guarantee:
            cost += WITHIN_GUARANTEE_COST
        return cost

    @cached_property
    def urgent_costs(self) -> dict[str, float]:
        """Costs of the gangs that an urgent job outside its account's guarantee may stop."""
        return {
            job_id: cost
            for job_id, cost in self.costs.items()
            if cost == 0.0
            or (job_id not in self.within_guarantee and not self.is_urgent(self.jobs[job_id]))
        }

    @cached_property
    def move_costs(self) -> dict[str, float]:
        """Costs of the gangs that may be moved: the move overhead on all their accelerators."""
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
        """Predicted remaining run time by job, for jobs with allocated accelerators."""
        remaining = {}
        predicted = self.view.run_time_s
        for _, gang, job in self.gangs:
            if job is None or job.state in STOPPING or job.id in self.stopped:
                remaining[gang.job_id] = URGENT_CHECKPOINT_WAIT_S
                continue
            elapsed_s = max(0.0, (self.now_ms - job.started_unix_ms) / 1000)
            left_s = predicted.get(job.id, job.declared_run_s) - elapsed_s
            # A gang past its predicted end is assumed to need more time the longer it has run.
            remaining[job.id] = left_s if left_s > 0 else 10.0 + elapsed_s / 4
        return remaining

    @cached_property
    def end_times(self) -> EndTimes:
        """Predicted end times of gangs, to find the earliest start of a waiting one."""
        return EndTimes(self.capacity, self.worker_allocations, self.remaining_s)

    @cached_property
    def ending_first(self) -> tuple[str, ...]:
        """Jobs with the earliest predicted ends, at most `REASON_NAME_LIMIT`."""
        order = sorted(self.remaining_s, key=lambda j: (self.remaining_s[j], j))
        return tuple(order[:REASON_NAME_LIMIT])

    @cached_property
    def largest_worker(self) -> int:
        """Number of accelerators of the largest worker; 0 without workers."""
        return max((w.accelerators for w in self.view.workers), default=0)

    def is_urgent(self, job: Job) -> bool:
        """Whether the job must start within seconds: class target up to `URGENT_TARGET_MS`."""
        work_class = self.view.configuration.classes.get(job.work_class)
        return work_class is not None and 0 < work_class.target_ms <= URGENT_TARGET_MS

    def due_order(self, job: Job) -> tuple[int, int, str]:
        """Return a sort key: submission time plus class target, then submission time and id."""
        work_class = self.view.configuration.classes.get(job.work_class)
        target_ms = work_class.target_ms if work_class else 0
        return (job.submitted_unix_ms + target_ms, job.submitted_unix_ms, job.id)

    def mark_stopped(self, job_id: str) -> None:
        """Treat a gang as stopping, so that its accelerators can be reassigned at no cost."""
        self.stopped.add(job_id)
        for costs in (self.costs, self.urgent_costs, self.move_costs):
            costs[job_id] = 0.0

    def take(self, job: Job, members: tuple[Member, ...]) -> None:
        """Take accelerators for a job, including from the unused slots of its account."""
        self.capacity.take(members, job.spec)
        unused_slots = self.unused_slots.get(job.account)
        for member in members:
            if unused_slots is not None and member.worker in unused_slots:
                unused_slots[member.worker] &= ~mask_of(member.accelerators)

    def assign_stopping(self, job: Job, members: tuple[Member, ...]) -> None:
        """Assign accelerators, including those of stopping gangs, to one job."""
        self.take(job, members)
        for member in members:
            mask = mask_of(member.accelerators)
            previous = self.worker_allocations.get(member.worker, [])
            self.worker_allocations[member.worker] = [
                a._replace(mask=a.mask & ~mask) for a in previous
            ]
