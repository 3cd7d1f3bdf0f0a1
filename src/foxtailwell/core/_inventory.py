"""Record of an instance as the instance list reports it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

Role = Literal["entry", "scheduler", "minion", "worker"]


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance in the instance list.

    Attributes:
        id: Identifier, unique over all roles.
        role: Process that runs on it.
        zone: Its availability zone.
        address: `host:port` of its interface; the peer port for daemons of this project.
        state: `live` if it accepts new work, `leaving` if it does not.
        rack: Rack of a worker or minion.
        region: Region of the zone.
        cores: Processor cores of a worker.
        memory_gb: Memory of a worker.
        accelerators: Accelerators of a worker, numbered from 0.
        slots: Requests that a minion runs concurrently.
        connections: Connections that a minion accepts.
    """

    id: str
    role: Role
    zone: str
    address: str
    state: Literal["live", "leaving"] = "live"
    rack: str = ""
    region: str = ""
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0
