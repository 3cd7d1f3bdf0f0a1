"""Allocation document of one availability zone."""

from __future__ import annotations

from dataclasses import dataclass, field

ALLOCATION_SCHEMA_VERSION = 1


@dataclass(frozen=True, slots=True)
class Member:
    """Accelerators of one member of a gang on one worker."""

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Gang:
    """A gang that holds its accelerators."""

    job_id: str
    attempt: int
    account: str
    members: tuple[Member, ...]
    started_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneAllocation:
    """All gangs of a zone, with the fencing token of the scheduler that wrote it."""

    schema_version: int = ALLOCATION_SCHEMA_VERSION
    zone: str = ""
    term: int = 0
    holder: str = ""
    gangs: dict[str, Gang] = field(default_factory=dict)
    quarantined: dict[str, int] = field(default_factory=dict)
