"""Fleets with running gangs and waiting jobs, to measure the time of one plan."""

from __future__ import annotations

from random import Random

from foxtailwell.core import (
    Capacity,
    ClientAccount,
    ClusterView,
    Configuration,
    Gang,
    GangSpec,
    InstanceRecord,
    Job,
    JobState,
    Shape,
    WorkClass,
    ZoneAllocation,
    place_best_fit,
)

ACCELERATORS_PER_WORKER = 16
"""With 8 accelerators each, 1,200 workers could not run 12,000 tasks."""

TASKS_PER_WORKER = 10
NOW_MS = 10_000_000


def make_busy_view(worker_count: int, seed: int) -> tuple[ClusterView, int]:
    """Return a view with about ten running tasks per worker and 100 waiting jobs.

    Args:
        worker_count: Number of workers, spread evenly over 7 zones in racks of 8.
        seed: Seed of the random numbers.

    Returns:
        The view and the number of running tasks.
    """
    rng = Random(seed)
    zones = [f"z{i}" for i in range(7)]
    workers = tuple(
        InstanceRecord(
            f"w{i:04}",
            "worker",
            zones[i % 7],
            "",
            rack=f"{zones[i % 7]}-{i // 56}",
            accelerators=ACCELERATORS_PER_WORKER,
        )
        for i in range(worker_count)
    )
    accounts = _make_accounts(worker_count)
    capacity = Capacity(workers)
    allocations = {z: ZoneAllocation(zone=z) for z in zones}
    jobs: list[Job] = []
    task_count = 0
    specs = [GangSpec(1, 1)] * 6 + [GangSpec(1, 2), GangSpec(4, 1), GangSpec(8, 2), GangSpec(32, 1)]
    account_names = list(accounts)
    while task_count < worker_count * TASKS_PER_WORKER:
        spec = rng.choice(specs)
        placement = place_best_fit(capacity, spec, zones=[rng.choice(zones)])
        if placement is None:
            spec = GangSpec(1, 1)
            placement = place_best_fit(capacity, spec)
        if placement is None:
            break
        zone, members = placement
        capacity.take(members, spec)
        started_ms = NOW_MS - rng.randint(10_000, 7_000_000)
        job = _make_job(f"r{len(jobs):05}", rng.choice(account_names), spec, rng, started_ms, zone)
        jobs.append(job)
        gang = Gang(job.id, 1, job.account, members, started_ms)
        allocations[zone].gangs[job.id] = gang
        task_count += spec.members
    waiting_specs = [GangSpec(1, 1), GangSpec(1, 4), GangSpec(16, 2), GangSpec(8, 16)]
    jobs += [
        _make_job(f"w{i:03}", rng.choice(account_names), rng.choice(waiting_specs), rng, 0, "")
        for i in range(100)
    ]
    configuration = Configuration(
        classes={
            "batch": WorkClass("batch", "job", 600_000, 0, True),
            "urgent": WorkClass("urgent", "job", 5_000, 0, True),
        },
        accounts=accounts,
    )
    run_time_s = {job.id: rng.uniform(600, 9000) for job in jobs}
    view = ClusterView(NOW_MS, configuration, workers, tuple(jobs), allocations, run_time_s)
    return view, task_count


def _make_accounts(worker_count: int) -> dict[str, ClientAccount]:
    """Return an account per five workers, at least 4, each with the same guaranteed shapes."""
    count = max(4, worker_count // 5)
    shapes = (Shape(16), Shape(4, 2), Shape(1, 3))
    return {f"t{i:03}": ClientAccount(f"t{i:03}", shapes) for i in range(count)}


def _make_job(
    job_id: str, account: str, spec: GangSpec, rng: Random, started_ms: int, zone: str
) -> Job:
    return Job(
        id=job_id,
        account=account,
        work_class="urgent" if rng.random() < 0.1 else "batch",
        spec=spec,
        declared_run_s=3600.0,
        idempotent=True,
        payload="",
        submitted_unix_ms=(started_ms or NOW_MS) - rng.randint(1000, 600_000),
        state=JobState.RUNNING if zone else JobState.WAITING,
        attempt=1 if zone else 0,
        zone=zone,
        started_unix_ms=started_ms,
    )
