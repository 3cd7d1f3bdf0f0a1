"""The planner: which gangs start, stop or fail, and why the rest waits."""

from __future__ import annotations

from foxtailwell.core._jobs import GangSpec, Job, JobState
from foxtailwell.core._placement import Capacity, place_best_fit
from foxtailwell.core._plan import ClusterView, Plan, StartGang, WaitReason

_NO_SPEC = GangSpec(0, 0)


def plan(view: ClusterView) -> Plan:
    """Decide what starts, stops and fails now.

    Args:
        view: Everything that the decisions depend on.

    Returns:
        Decisions in the order in which to carry them out, and a reason for each waiting job.
    """
    capacity = free_capacity(view)
    decisions: list[StartGang] = []
    waiting: dict[str, WaitReason] = {}
    for job in sorted(view.jobs, key=lambda j: _due_unix_ms(view, j)):
        if job.state is not JobState.WAITING or job.cancel_requested:
            continue
        found = place_best_fit(capacity, job.spec)
        if found is None:
            waiting[job.id] = WaitReason("no_capacity", "no zone has enough free accelerators")
            continue
        zone, members = found
        capacity.take(members, job.spec)
        decisions.append(StartGang(job.id, zone, members))
    return Plan(tuple(decisions), waiting)


def _due_unix_ms(view: ClusterView, job: Job) -> tuple[int, int, str]:
    work_class = view.configuration.classes.get(job.work_class)
    target_ms = work_class.target_ms if work_class else 0
    return (job.submitted_unix_ms + target_ms, job.submitted_unix_ms, job.id)


def free_capacity(view: ClusterView) -> Capacity:
    """Return the free accelerators of the workers that may get work."""
    quarantined = {
        worker
        for allocation in view.allocations.values()
        for worker, until in allocation.quarantined.items()
        if until > view.now_unix_ms
    }
    usable = (
        worker
        for worker in view.workers
        if worker.state == "live"
        and worker.accelerators
        and worker.zone not in view.configuration.zones_out
        and worker.id not in view.configuration.leaving_instances
        and worker.id not in quarantined
    )
    capacity = Capacity(usable)
    specs = {job.id: job.spec for job in view.jobs}
    for allocation in view.allocations.values():
        for gang in allocation.gangs.values():
            capacity.take(gang.members, specs.get(gang.job_id, _NO_SPEC))
    return capacity
