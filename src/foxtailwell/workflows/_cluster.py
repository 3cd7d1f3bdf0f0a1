"""What operators and workers say: queues, client accounts, worker entries."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailwell.workflows._jobs import Queue, Resources

__all__ = ["ClientAccount", "ClusterConfiguration", "Route", "WorkerEntry"]


@dataclass(frozen=True, slots=True)
class Route:
    """Where clients reach a queue.

    Attributes:
        is_open: Requests need no key.
    """

    host: str
    prefix: str
    queue: Queue
    is_open: bool = False


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its keys.

    Attributes:
        guaranteed_accelerators: Accelerators that its jobs of priority 0 can claim at any time.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class ClusterConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)
    guaranteed_accelerators: Mapping[str, int] = field(default_factory=dict)
    queues: Mapping[str, Queue] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path on this host."""
        matching = [r for r in self.routes_by_host.get(host, ()) if path.startswith(r.prefix)]
        return max(matching, key=lambda r: len(r.prefix), default=None)


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker last reported about itself.

    Attributes:
        boot_unix_ms: Start of this life of the worker; tells lives with one identifier apart.
        clock_ms: The worker's own clock when it reported.
        remaining_ms: Least time until a draining worker leaves; None while it does not drain.
    """

    id: str
    pool: str
    address: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_ready: bool
    boot_unix_ms: int
    clock_ms: int
    remaining_ms: int | None = None
