"""State that the tasks of the scheduler share, kept current by watches of the store.

Keys of the documents and leases in the store are defined here as well.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from foxtailwell.adapters.document_watch import watch_documents
from foxtailwell.adapters.group_commit import GroupCommitter
from foxtailwell.adapters.store import StoreClient
from foxtailwell.adapters.workers import WorkerCallCounts
from foxtailwell.core import (
    Job,
    JobShard,
    JobState,
    Plan,
    RunTimes,
    StartPermission,
    WorkerHealth,
    ZoneAllocation,
    job_shard,
)
from foxtailwell.fleet import FleetView

if TYPE_CHECKING:
    from foxtailwell.scheduler._zone import ZoneExecutor

__all__ = [
    "JOBS_PREFIX",
    "SchedulerState",
    "allocation_key",
    "follow_documents",
    "lease_key",
    "now_unix_ms",
    "shard_key",
]

JOBS_PREFIX = "jobs/"
_ALLOCATIONS_PREFIX = "alloc/"


def shard_key(job_id: str) -> str:
    """Return the key of the document that holds a job."""
    return f"{JOBS_PREFIX}{job_shard(job_id)}"


def allocation_key(zone: str) -> str:
    """Return the key of a zone's allocation document."""
    return f"{_ALLOCATIONS_PREFIX}{zone}"


def lease_key(zone: str) -> str:
    """Return the key of the lease for a zone."""
    return f"lease/scheduler/{zone}"


def now_unix_ms() -> int:
    """Return the wall-clock time for stored documents; intervals use the monotonic clock."""
    return time.time_ns() // 1_000_000


@dataclass(slots=True)
class SchedulerState:
    """State of one scheduler daemon.

    Attributes:
        instance: Identifier of this daemon in the instance list, `<instance>/scheduler`.
        local_zone: Availability zone of the instance on which the daemon runs.
        store: Client of the store.
        worker_calls: Total calls and bytes sent to workers.
        view: Configuration and fleet, kept current by the fleet tasks.
        job_documents: Writes the job documents.
        allocation_documents: Writes the allocation documents.
        shards: Job documents by key, from the watch.
        allocations: Allocation documents by zone, from the watch.
        loaded_prefixes: Key prefixes whose documents the watch has read completely once.
        executors: Executors of the zones that this scheduler holds, by zone.
        plan: Newest plan; empty after the planner failed.
        plan_ms: Duration of the newest planning round.
        run_times: Run times of completed jobs, for predictions.
        worker_health: Consecutive failures of the workers in the zones that this scheduler holds.
        operators_port: Port on which the operators' interface listens.
        changed: Set and replaced by a new event whenever a document changes, a zone is acquired, an
            attempt has ended or the daemon stops.
        stop: Set to stop the daemon.
    """

    instance: str
    local_zone: str
    store: StoreClient
    worker_calls: WorkerCallCounts
    view: FleetView
    job_documents: GroupCommitter[JobShard]
    allocation_documents: GroupCommitter[ZoneAllocation]
    shards: dict[str, JobShard] = field(default_factory=dict)
    allocations: dict[str, ZoneAllocation] = field(default_factory=dict)
    loaded_prefixes: set[str] = field(default_factory=set)
    executors: dict[str, ZoneExecutor] = field(default_factory=dict)
    plan: Plan = field(default_factory=Plan)
    plan_ms: float = 0.0
    run_times: RunTimes = field(default_factory=RunTimes)
    worker_health: WorkerHealth = field(default_factory=WorkerHealth)
    operators_port: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    stop: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_loaded(self) -> bool:
        """Whether the job and allocation documents were all read once."""
        return len(self.loaded_prefixes) == 2

    def notify(self) -> None:
        """Wake all callers of `wait_for_change`."""
        self.changed.set()
        self.changed = anyio.Event()

    def change_events(self) -> tuple[anyio.Event, ...]:
        """Return the events that the next change sets, for `wait_for_change`.

        A caller that takes them before it reads the state misses no change in between.
        """
        return (self.changed, self.view.changed, self.stop)

    async def wait_for_change(
        self, wait_s: float, events: tuple[anyio.Event, ...] | None = None
    ) -> None:
        """Wait for `notify`, a change of the fleet, the stop of the daemon or the timeout.

        Args:
            wait_s: Timeout.
            events: Result of an earlier `change_events`; by default only changes from now on count.
        """
        async with anyio.create_task_group() as group:

            async def wake(event: anyio.Event) -> None:
                await event.wait()
                group.cancel_scope.cancel()

            for event in events or self.change_events():
                group.start_soon(wake, event)
            await anyio.sleep(wait_s)
            group.cancel_scope.cancel()

    def find_job(self, job_id: str) -> Job | None:
        """Return a job in the newest watched documents, or None if it is not there."""
        shard = self.shards.get(shard_key(job_id))
        return shard.jobs.get(job_id) if shard else None

    def jobs(self) -> Iterable[Job]:
        """Return all jobs in the newest watched documents, in no particular order."""
        return (job for shard in self.shards.values() for job in shard.jobs.values())

    def known_zones(self) -> list[str]:
        """Return the sorted names of the zones that have workers or an allocation document."""
        zones = {r.zone for r in self.view.instances.values() if r.role == "worker"}
        return sorted(zones | set(self.allocations))

    def start_permission(self, zone: str) -> StartPermission:
        """Return the current time and what decides whether tasks may start in a zone."""
        is_out = zone in self.view.configuration.zones_out
        return StartPermission(time.monotonic(), self.view.evidence, is_out)


def _learn_run_times(run_times: RunTimes, before: JobShard, after: JobShard) -> None:
    """Record the run times of newly completed jobs; every scheduler sees the jobs of all zones."""
    for job in after.jobs.values():
        previous = before.jobs.get(job.id)
        if job.state is not JobState.DONE or (previous and previous.state is JobState.DONE):
            continue
        started = [t.at_unix_ms for t in job.history if t.state is JobState.RUNNING]
        if started and not job.checkpoint:
            run_s = (job.history[-1].at_unix_ms - started[-1]) / 1000
            run_times.observe(job.account, job.work_class, max(0.0, run_s))


async def follow_documents(state: SchedulerState) -> None:
    """Keep the job and allocation documents current until cancelled, with one watch for each."""

    async def put_shard(key: str, shard: JobShard) -> None:
        _learn_run_times(state.run_times, state.shards.get(key, JobShard()), shard)
        state.shards[key] = shard
        state.notify()

    async def put_allocation(key: str, allocation: ZoneAllocation) -> None:
        state.allocations[key.removeprefix(_ALLOCATIONS_PREFIX)] = allocation
        state.notify()

    def mark_loaded(prefix: str) -> None:
        if prefix not in state.loaded_prefixes:
            state.loaded_prefixes.add(prefix)
            state.notify()

    async with anyio.create_task_group() as group:
        group.start_soon(
            lambda: watch_documents(
                state.store,
                JOBS_PREFIX,
                JobShard,
                put_shard,
                on_result=lambda _: mark_loaded(JOBS_PREFIX),
            )
        )
        group.start_soon(
            lambda: watch_documents(
                state.store,
                _ALLOCATIONS_PREFIX,
                ZoneAllocation,
                put_allocation,
                on_result=lambda _: mark_loaded(_ALLOCATIONS_PREFIX),
            )
        )
