"""Operators of the soak: configurations, keys, zones and workers that leave."""

from __future__ import annotations

import time

import anyio
import msgspec

from foxtailwell_soak._clients import HOST, KEYS, LATER, URGENT
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerPort
from foxtailwell_soak._ledger import MAX_ATTEMPTS, Ledger

__all__ = ["Operators"]


class Operators:
    """Writes what operators want to the store; the store's answer is the confirmation.

    Args:
        fleet: Store and workers.
        ledger: Takes when a change was stored.
    """

    def __init__(self, fleet: Fleet, ledger: Ledger) -> None:
        self._fleet = fleet
        self._ledger = ledger
        self._version = 0
        self._keys = set(KEYS)

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
            for priority, prefix in enumerate((URGENT, LATER))
        ]
        tenants = [{"name": "acme", "api_keys": sorted(self._keys), "guaranteed": {"gpu": 16}}]
        value = {"version": self._version, "routes": routes, "tenants": tenants}
        self._fleet.store.write("op/config", msgspec.json.encode(value))

    async def take_key(self, for_s: float) -> None:
        """Take the second key away for a time."""
        key = KEYS[1]
        self._keys.discard(key)
        self.configure()
        self._ledger.revoked_s[key] = time.monotonic()
        await anyio.sleep(for_s)
        self._ledger.revoked_s.pop(key, None)
        self._keys.add(key)
        self.configure()

    async def take_zone_out(self, zone: str, for_s: float) -> None:
        """Take a zone out of service for a time."""
        key = f"op/evacuate/{zone}"
        self._fleet.store.write(key, b"{}")
        self._ledger.zones_out_s[zone] = time.monotonic()
        await anyio.sleep(for_s)
        self._ledger.zones_out_s.pop(zone, None)
        self._fleet.store.delete(key)

    async def drain(self, port: WorkerPort, for_s: float) -> None:
        """Let a worker drain, leave, and come back empty."""
        if port.draining_s or port.is_gone:
            return
        port.draining_s = time.monotonic()
        self._fleet.publish(port)
        await anyio.sleep(BOUNDS.drain_ms / 1000 + 0.5)
        port.is_gone = True
        port.worker.restart()
        self._fleet.store.delete(f"servers/{port.worker.id}")
        await anyio.sleep(for_s)
        port.worker.restart()
        port.draining_s, port.is_gone = 0.0, False
        self._fleet.publish(port)
