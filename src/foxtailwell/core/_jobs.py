"""Jobs and their documents."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

JOBS_SCHEMA_VERSION = 1
JOB_SHARD_COUNT = 16


class JobState(StrEnum):
    """State of a job."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    PREPARING = "preparing"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can never run again."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class GangSpec:
    """Size of a gang: members, and what each of them needs on one worker."""

    members: int
    accelerators_per_member: int
    cores_per_member: int = 0
    memory_gb_per_member: int = 0

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.members * self.accelerators_per_member


@dataclass(frozen=True, slots=True)
class Transition:
    """One change of state with its reason."""

    state: JobState
    at_unix_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Job:
    """One job as the store keeps it.

    Attributes:
        id: Identifier derived from the account and the idempotency key.
        account: Client account.
        work_class: Class of work.
        spec: Gang that the job needs.
        declared_run_s: Run time that the caller expects; often far off.
        idempotent: Copied from the class at submission.
        payload: Opaque arguments for the tasks.
        submitted_unix_ms: Time of acceptance.
        state: Current state.
        attempt: Rises with every start; commands of older attempts are refused.
        zone: Zone that holds the current attempt, empty while waiting.
        checkpoint: Newest checkpoint, empty when there is none.
        started_unix_ms: Start of the current attempt, 0 while not running.
        failed_workers: Workers on which the job failed.
        cancel_requested: Set by a caller; a job with it never starts.
        history: Newest transitions, bounded.
    """

    id: str
    account: str
    work_class: str
    spec: GangSpec
    declared_run_s: float
    idempotent: bool
    payload: str
    submitted_unix_ms: int
    state: JobState
    attempt: int = 0
    zone: str = ""
    checkpoint: str = ""
    started_unix_ms: int = 0
    failed_workers: tuple[str, ...] = ()
    cancel_requested: bool = False
    history: tuple[Transition, ...] = ()


@dataclass(frozen=True, slots=True)
class JobShard:
    """All jobs of one shard."""

    schema_version: int = JOBS_SCHEMA_VERSION
    jobs: dict[str, Job] = field(default_factory=dict)
