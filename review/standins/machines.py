"""Stand-in of the platform's machines, which have their upkeep on request."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable

from standins.http import Request
from standins.minion import Minion

__all__ = ["Machines"]

UPKEEP_S = 2.0


class Machines:
    """One machine for each minion; the machine of minion `i-0` is `m-0`.

    Args:
        minions: Present minions.
        report: Writes a line to the record.
    """

    def __init__(self, minions: Iterable[Minion], report: Callable[..., None]) -> None:
        self._minions = {f"m-{number}": minion for number, minion in enumerate(minions)}
        self._report = report
        self._states = dict.fromkeys(self._minions, "up")
        self._waves: dict[int, tuple[str, ...]] = {}
        self._done: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task] = set()

    def request_wave(
        self, number: int, machines: tuple[str, ...], within_s: int, most: int
    ) -> None:
        """Write a wave as the operator does."""
        self._waves[number] = machines
        wave = {"wave": number, "machines": machines, "within_s": within_s, "max_count": most}
        store = next(iter(self._minions.values())).store
        store.put(f"op/wave/{number}", json.dumps(wave).encode())
        self._report("wave requested", **wave)

    async def handle(self, request: Request) -> tuple[int, dict]:
        """Handle a call to the machine interface."""
        if request.path == "/-/machines":
            return 200, {"machines": [self._describe(name) for name in self._minions]}
        if request.path != "/-/machine-upkeep":
            return 404, {}
        machine, wave = request.body["machine"], request.body["wave"]
        self._report("upkeep ordered", machine=machine, wave=wave)
        if machine not in self._minions:
            return 400, {}
        if (machine, wave) in self._done:
            return 200, {}
        if machine not in self._waves.get(wave, ()):
            return 409, {"reason": "wave"}
        if self._states[machine] != "up":
            return 409, {"reason": "busy"}
        self._done.add((machine, wave))
        task = asyncio.create_task(self._upkeep(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, {}

    def _describe(self, name: str) -> dict:
        minion = self._minions[name]
        return {
            "machine": name,
            "pool": minion.service,
            "state": self._states[name],
            "zone": minion.zone,
            "labels": ["a", minion.rack],
            "capacity": {"cpu": minion.shape.cpu, "gpu": minion.shape.gpu},
            "id": minion.id if self._states[name] == "up" else "",
        }

    async def _upkeep(self, machine: str) -> None:
        minion = self._minions[machine]
        self._states[machine] = "upkeep"
        minion.leave()
        await asyncio.sleep(UPKEEP_S)
        minion.id += "-2"
        await minion.boot()
        self._states[machine] = "up"
