"""Configuration by operators (routes, queues, client accounts) and registration of workers.

`ClientAccount` belongs to the workflows model and is unrelated to the class of this name in `core`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailwell.workflows._jobs import Queue, Resources

__all__ = ["ClientAccount", "ClusterConfiguration", "Route", "WorkerEntry"]


@dataclass(frozen=True, slots=True)
class Route:
    """Host and path prefix at which clients reach a queue.

    Attributes:
        is_open: Requests need no API key.
    """

    host: str
    prefix: str
    queue: Queue
    is_open: bool = False


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its API keys.

    Attributes:
        guaranteed_accelerators: Accelerators that its jobs of priority 0 may claim at any time.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class ClusterConfiguration:
    """One version of the operators' configuration.

    Attributes:
        guaranteed_accelerators: Guaranteed accelerators by account name.
        queues: Queues by name.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)
    guaranteed_accelerators: Mapping[str, int] = field(default_factory=dict)
    queues: Mapping[str, Queue] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None when no route matches."""
        matching = [r for r in self.routes_by_host.get(host, ()) if path.startswith(r.prefix)]
        return max(matching, key=lambda r: len(r.prefix), default=None)


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Latest registration of a worker in the store.

    Attributes:
        boot_unix_ms: Start time of the worker's incarnation, which distinguishes incarnations with
            the same identifier.
        clock_ms: The worker's own clock when it registered.
        remaining_ms: Minimum time until a draining worker is removed; None if it is not draining.
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
