"""What an instance needs to know of itself."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["InstanceSettings"]


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What an instance needs to know of itself and of the platform.

    Attributes:
        client_address: Where clients connect.
        metrics_address: Where counters and histograms are read.
        readiness_address: Where the platform asks whether to send new connections.
        advisor_address: Who says where steps of some queues may run; empty for nobody.
        machines_address: Where machines are listed and taken down; empty for nowhere.
        max_hold_ms: Longest lease of running tasks.
        revocation_ms: Time after which a removed key must not be accepted.
        status_s: Time for which ended jobs stay known.
        maintenance_s: Time for which an upkeep takes a machine away.
    """

    name: str
    zone: str
    client_address: str
    readiness_address: str
    metrics_address: str
    store_address: str
    advisor_address: str
    machines_address: str
    grace_s: float
    max_hold_ms: int
    revocation_ms: int
    status_s: float
    maintenance_s: float
