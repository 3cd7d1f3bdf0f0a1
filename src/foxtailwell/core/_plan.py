"""Input and output of a planner: the cluster view, decisions and reasons for waiting.

These types belong to the model of single-gang jobs; `workflows` has its own `Plan`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from foxtailwell.core._allocations import Member, ZoneAllocation
from foxtailwell.core._configuration import Configuration
from foxtailwell.core._inventory import InstanceRecord
from foxtailwell.core._jobs import Job


@dataclass(frozen=True, slots=True)
class WorkerFailures:
    """Consecutive failures of a worker, counted by distinct jobs.

    Attributes:
        job_ids: Distinct jobs that failed, newest last.
        last_unix_ms: Time of the newest failure.
    """

    job_ids: tuple[str, ...] = ()
    last_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Complete input of one planning round.

    Attributes:
        now_unix_ms: Time of the plan.
        configuration: Active configuration.
        workers: Live and leaving workers of the instance list.
        jobs: Jobs that have not ended.
        allocations: Allocation document of each zone.
        run_time_s: Predicted total run time by job, where known.
        failing_workers: Consecutive failures by worker; one success clears them.
    """

    now_unix_ms: int
    configuration: Configuration
    workers: tuple[InstanceRecord, ...]
    jobs: tuple[Job, ...]
    allocations: dict[str, ZoneAllocation]
    run_time_s: dict[str, float] = field(default_factory=dict)
    failing_workers: dict[str, WorkerFailures] = field(default_factory=dict)


StopReason = Literal["reclaim", "zone_out", "move", "cancel", "worker_leaving"]


@dataclass(frozen=True, slots=True)
class StartGang:
    """Start a waiting job; all members are in the given zone."""

    job_id: str
    zone: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class StopGang:
    """Checkpoint and stop a running gang; its job is then queued again, or ends on a cancel."""

    job_id: str
    zone: str
    reason: StopReason
    checkpoint_wait_s: float


@dataclass(frozen=True, slots=True)
class FailJob:
    """End a job that can never succeed; `reason` is shown to the caller."""

    job_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineWorker:
    """Exclude a worker from ordinary work until a time; a probe may follow."""

    zone: str
    worker: str
    until_unix_ms: int


Decision = StartGang | StopGang | FailJob | QuarantineWorker


@dataclass(frozen=True, slots=True)
class WaitReason:
    """Why a job waits.

    Attributes:
        code: Stable code of the reason.
        detail: Message with the relevant values.
        needs: Resources that would let it start.
        held_by: Jobs that use or have reserved what it needs.
    """

    code: str
    detail: str
    needs: str = ""
    held_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """Decisions in execution order, and a reason for each job that stays in the queue."""

    decisions: tuple[Decision, ...] = ()
    waiting: dict[str, WaitReason] = field(default_factory=dict)
