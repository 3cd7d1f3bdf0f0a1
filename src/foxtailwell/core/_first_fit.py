"""Baseline planner for benchmarks: first come, first served with first-fit placement."""

from __future__ import annotations

from foxtailwell.core._allocations import Member
from foxtailwell.core._jobs import Job, JobState
from foxtailwell.core._plan import ClusterView, Plan, StartGang, WaitReason

FreeAccelerators = dict[str, list[int]]


def plan_first_fit(view: ClusterView) -> Plan:
    """Start the oldest waiting jobs in the first zone and on the first workers that fit.

    The first job that does not fit blocks all later ones; there is no backfill. Guarantees, quotas,
    racks, cores and memory are ignored.
    """
    free = _free_by_zone(view)
    decisions: list[StartGang] = []
    waiting: dict[str, WaitReason] = {}
    blocked = False
    for job in sorted(view.jobs, key=lambda j: (j.submitted_unix_ms, j.id)):
        if job.state is not JobState.WAITING or job.cancel_requested:
            continue
        start = None if blocked else _first_fit(job, free)
        if start is None:
            blocked = True
            waiting[job.id] = WaitReason("no_capacity", "no zone has enough free accelerators")
        else:
            decisions.append(start)
    return Plan(tuple(decisions), waiting)


def _free_by_zone(view: ClusterView) -> dict[str, FreeAccelerators]:
    zones: dict[str, FreeAccelerators] = {}
    for worker in sorted(view.workers, key=lambda w: w.id):
        is_usable = worker.state == "live" and worker.zone not in view.configuration.zones_out
        if is_usable and worker.accelerators:
            zones.setdefault(worker.zone, {})[worker.id] = list(range(worker.accelerators))
    for zone, allocation in view.allocations.items():
        for gang in allocation.gangs.values():
            for member in gang.members:
                indexes = zones.get(zone, {}).get(member.worker)
                if indexes is not None:
                    indexes[:] = [i for i in indexes if i not in member.accelerators]
    return zones


def _first_fit(job: Job, zones: dict[str, FreeAccelerators]) -> StartGang | None:
    size = job.spec.accelerators_per_member
    for zone in sorted(zones):
        members: list[Member] = []
        for worker, indexes in zones[zone].items():
            while (
                len(indexes) - _used_count(members, worker) >= size
                and len(members) < job.spec.members
            ):
                offset = _used_count(members, worker)
                members.append(Member(worker, tuple(indexes[offset : offset + size])))
        if len(members) == job.spec.members:
            for member in members:
                indexes = zones[zone][member.worker]
                indexes[:] = [i for i in indexes if i not in member.accelerators]
            return StartGang(job.id, zone, tuple(members))
    return None


def _used_count(members: list[Member], worker: str) -> int:
    return sum(len(m.accelerators) for m in members if m.worker == worker)
