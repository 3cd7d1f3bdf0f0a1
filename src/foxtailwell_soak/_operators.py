"""Operators of the soak: configurations, keys, zones and workers that leave."""

from __future__ import annotations

import time

import anyio
import msgspec

from foxtailwell_soak._clients import API_KEYS, HOST, LATER_PREFIX, URGENT_PREFIX
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerHandle
from foxtailwell_soak._history import MAX_ATTEMPTS, History

__all__ = ["Operators"]


class Operators:
    """Writes what operators want to the store; the store's answer is the confirmation.

    Args:
        fleet: Store and workers.
        history: Takes when a change was stored.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._version = 0
        self._keys = set(API_KEYS)

    def configure(self) -> None:
        """Store the next version of the configuration."""
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
        """Take the second key away for a time."""
        key = API_KEYS[1]
        self._keys.discard(key)
        self.configure()
        self._history.revoked_s[key] = time.monotonic()
        await anyio.sleep(for_s)
        self._history.revoked_s.pop(key, None)
        self._keys.add(key)
        self.configure()

    async def evacuate_zone(self, zone: str, for_s: float) -> None:
        """Take a zone out of service for a time."""
        key = f"op/evacuate/{zone}"
        self._fleet.store.write(key, b"{}")
        self._history.zones_out_s[zone] = time.monotonic()
        await anyio.sleep(for_s)
        self._history.zones_out_s.pop(zone, None)
        self._fleet.store.delete(key)

    async def drain(self, port: WorkerHandle, for_s: float) -> None:
        """Let a worker drain, leave, and come back empty."""
        if port.draining_s or port.is_removed:
            return
        port.draining_s = time.monotonic()
        self._fleet.publish(port)
        await anyio.sleep(BOUNDS.drain_ms / 1000 + 0.5)
        port.is_removed = True
        port.worker.restart()
        self._fleet.store.delete(f"servers/{port.worker.id}")
        await anyio.sleep(for_s)
        port.worker.restart()
        port.draining_s, port.is_removed = 0.0, False
        self._fleet.publish(port)
