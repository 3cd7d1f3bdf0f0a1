"""Settings of an instance in the workflows model, independent of the file format."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["InstanceSettings"]


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of an instance; a reload logs the names of changed fields.

    Attributes:
        client_address: `IP:PORT` at which the client API is served.
        readiness_address: `IP:PORT` of the readiness probe of the platform's load balancer.
        metrics_address: `IP:PORT` at which metrics are served.
        advisor_address: `IP:PORT` of the placement advisor; empty for none.
        machines_address: `IP:PORT` of the machine interface; empty for none.
        max_value_bytes: Largest value that the store accepts.
        max_hold_ms: Maximum lease of running tasks.
        revocation_ms: Time after which a removed API key must no longer be accepted.
        status_s: Time for which the state of an ended job remains available.
        maintenance_s: Time for which maintenance takes a machine down.
        heartbeat_s: Interval of the heartbeats of a worker.
        capacity_grace_s: Time for which a worker tolerates starts that exceed its capacity after
            that has shrunk.
        reclaim_s: Time within which urgent jobs get the accelerators that their account is
            guaranteed.
        stop_timeout_s: Time that a worker needs at most to stop a run.
    """

    name: str
    zone: str
    client_address: str
    readiness_address: str
    metrics_address: str
    store_address: str
    max_value_bytes: int
    advisor_address: str
    machines_address: str
    grace_s: float
    max_hold_ms: int
    revocation_ms: int
    status_s: float
    maintenance_s: float
    heartbeat_s: float
    capacity_grace_s: float
    reclaim_s: float
    stop_timeout_s: float
