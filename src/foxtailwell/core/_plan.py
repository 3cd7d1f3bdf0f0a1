"""What a planner sees and what it decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from foxtailwell.core._allocations import Member, ZoneAllocation
from foxtailwell.core._configuration import Configuration
from foxtailwell.core._inventory import InstanceRecord
from foxtailwell.core._jobs import Job


@dataclass(frozen=True, slots=True)
class WorkerFailures:
    """Different jobs that failed on a worker in a row, newest last."""

    job_ids: tuple[str, ...] = ()
    last_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Everything that a plan depends on.

    Attributes:
        now_unix_ms: Time of the plan.
        configuration: Configuration in force.
        workers: Live and leaving workers of the instance list.
        jobs: Jobs that have not ended.
        allocations: Allocation document of each zone.
        run_time_s: Predicted run time by job, where one is known.
        failing_workers: Failures in a row by worker; one success clears them.
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
    """Start a waiting job on these accelerators of one zone."""

    job_id: str
    zone: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class StopGang:
    """Checkpoint and stop a running gang, then return its job to the queue or end it."""

    job_id: str
    zone: str
    reason: StopReason
    checkpoint_wait_s: float


@dataclass(frozen=True, slots=True)
class FailJob:
    """End a job that can never run."""

    job_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineWorker:
    """Give no work to a worker until a time."""

    zone: str
    worker: str
    until_unix_ms: int


Decision = StartGang | StopGang | FailJob | QuarantineWorker


@dataclass(frozen=True, slots=True)
class WaitReason:
    """Why a job waits.

    Attributes:
        code: Stable code of the reason.
        detail: Sentence with the values that matter.
        needs: What would let it start.
        held_by: Jobs that hold what it needs.
    """

    code: str
    detail: str
    needs: str = ""
    held_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """Decisions in the order in which they should be carried out, and why the rest waits."""

    decisions: tuple[Decision, ...] = ()
    waiting: dict[str, WaitReason] = field(default_factory=dict)
