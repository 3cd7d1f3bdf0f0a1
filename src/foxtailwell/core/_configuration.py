"""The configuration that operators change: classes of work, client accounts, zones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

CONFIGURATION_SCHEMA_VERSION = 1


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its target.

    Attributes:
        name: Name used by callers.
        kind: Whether the class is for requests or for jobs.
        target_ms: Completion time of a request, or time until a job starts.
        patience_ms: Longest time that work may wait before it is refused; 0 is no limit.
        idempotent: Whether the work may run more than once.
    """

    name: str
    kind: Literal["request", "job"]
    target_ms: int
    patience_ms: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Shape:
    """A guaranteed gang of adjacent accelerators, `count` times."""

    accelerators: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its guarantees and its quota."""

    name: str
    guarantees: tuple[Shape, ...] = ()
    quota_accelerators: int = 0
    guaranteed_slots: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """A zone that operators have taken out of service."""

    zone: str
    since_unix_ms: int
    actor: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change, kept for the audit trail."""

    revision: int
    at_unix_ms: int
    actor: str
    operation: str
    subject: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one revision."""

    schema_version: int = CONFIGURATION_SCHEMA_VERSION
    revision: int = 0
    survive_zone_loss: bool = False
    classes: dict[str, WorkClass] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)
    zones_out: dict[str, ZoneOut] = field(default_factory=dict)
    leaving_instances: tuple[str, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
