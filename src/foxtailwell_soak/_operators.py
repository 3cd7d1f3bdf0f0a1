"""Operator changes during a soak test: configuration, API keys, zones and worker drains."""

from __future__ import annotations

import time

import anyio
import msgspec

from foxtailwell_soak._clients import API_KEYS, HOST, LATER_PREFIX, URGENT_PREFIX
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerHandle
from foxtailwell_soak._history import MAX_ATTEMPTS, History

__all__ = ["Operators"]


class Operators:
    """Makes operator changes by writing to the store; a change is confirmed once it is stored.

    Args:
        fleet: Store and workers.
        history: Takes the times at which changes were stored.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._version = 0
        self._keys = set(API_KEYS)

    def configure(self) -> None:
        """Store the next version of the configuration with the API keys that are not revoked."""
        self._version += 7
        routes = [
            {
                "name": prefix.strip("/"),
                "host": HOST,
                "prefix": prefix,
                "service": "pool",
                "priority": priority,
                "max_attempts": MAX_ATTEMPTS,
            }
            for priority, prefix in enumerate((URGENT_PREFIX, LATER_PREFIX))
        ]
        tenants = [{"name": "acme", "api_keys": sorted(self._keys), "guaranteed": {"gpu": 16}}]
        value = {"version": self._version, "routes": routes, "tenants": tenants}
        self._fleet.store.write("op/config", msgspec.json.encode(value))

    async def revoke_key(self, for_s: float) -> None:
        """Revoke the second API key for `for_s`."""
        key = API_KEYS[1]
        self._keys.discard(key)
        self.configure()
        self._history.revoked_s[key] = time.monotonic()
        await anyio.sleep(for_s)
        self._history.revoked_s.pop(key, None)
        self._keys.add(key)
        self.configure()

    async def evacuate_zone(self, zone: str, for_s: float) -> None:
        """Take a zone out of service for `for_s`."""
        key = f"op/evacuate/{zone}"
        self._fleet.store.write(key, b"{}")
        self._history.zones_out_s[zone] = time.monotonic()
        await anyio.sleep(for_s)
        self._history.zones_out_s.pop(zone, None)
        self._fleet.store.delete(key)

    async def drain_and_remove(self, handle: WorkerHandle, for_s: float) -> None:
        """Drain a worker, remove it for `for_s`, and add it again as a new incarnation.

        A worker that is already draining, removed or cut off is ignored.
        """
        if handle.draining_s or handle.is_removed or handle.is_cut_off:
            return
        handle.draining_s = time.monotonic()
        self._fleet.publish(handle)
        await anyio.sleep(BOUNDS.drain_ms / 1000 + 0.5)
        handle.is_removed = True
        handle.worker.restart()
        self._fleet.store.delete(f"servers/{handle.worker.id}")
        await anyio.sleep(for_s)
        handle.worker.restart()
        handle.draining_s, handle.is_removed = 0.0, False
        self._fleet.publish(handle)
