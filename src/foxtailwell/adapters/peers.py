"""Messages between the project's own daemons."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ClaimAnswer",
    "ClaimQuery",
    "ConfigurationPush",
    "Heartbeat",
    "HeartbeatReply",
    "Load",
]


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an entry daemon; `minions` maps a minion to its requests in flight from here."""

    queue_length: int = 0
    in_flight: int = 0
    minions: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Question to a peer, sent once a second."""

    instance: str
    role: str
    zone: str
    revision: int
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply to a heartbeat, with the age of the peer's evidence."""

    instance: str
    revision: int
    has_evidence: bool
    evidence_revision: int
    evidence_age_ms: int
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """A configuration document for a peer with a lower revision."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Question for the response of a claimed request."""

    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Reply to a claim query.

    Attributes:
        state: `answer`, `running`, `not_run` or `unknown`.
        status: HTTP status of the response.
        headers: HTTP headers of the response.
        body: Body of the response.
    """

    state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
