"""In-memory stand-in for the platform's machines, whose maintenance ends all runs on a machine."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from foxtailwell.workflows import Machine, MachineCallError, MachineState, MaintenanceOutcome
from foxtailwell_standins.platform_worker import MemoryWorker

__all__ = ["MemoryMachines"]


@dataclass(slots=True)
class MemoryMachines:
    """Machines with one worker each; the machine of worker `w0` is `m-w0`.

    Attributes:
        down_s: Time for which maintenance takes a machine down.
        lost_responses: Number of coming maintenance commands that take effect but get no response.
        busy: Machines that are up and reject each command.
        omissions: Number of coming listings that lack a machine although it is there, by name.
        log: Machine, start time and number of ended runs of each maintenance.
        max_down_count: Highest number of machines that were down at the same time.
    """

    workers: dict[str, MemoryWorker]
    down_s: float = 0.2
    lost_responses: int = 0
    busy: frozenset[str] = frozenset()
    omissions: dict[str, int] = field(default_factory=dict)
    log: list[tuple[str, float, int]] = field(default_factory=list)
    max_down_count: int = 0
    _begun: set[tuple[str, int]] = field(default_factory=set)
    _down_until_s: dict[str, float] = field(default_factory=dict)

    def _is_down(self, machine: str) -> bool:
        return self._down_until_s.get(machine, 0.0) > time.monotonic()

    async def list_machines(self) -> Sequence[Machine]:
        """Return the machines; those that are down are in state MAINTENANCE."""
        await anyio.sleep(0.002)
        omitted = {machine for machine, count in self.omissions.items() if count}
        self.omissions = {machine: self.omissions[machine] - 1 for machine in omitted}
        return [
            Machine(
                f"m-{worker}",
                MachineState.MAINTENANCE if self._is_down(f"m-{worker}") else MachineState.UP,
                worker,
            )
            for worker in self.workers
            if f"m-{worker}" not in omitted
        ]

    async def begin_maintenance(self, machine: str, wave: int, token: int) -> MaintenanceOutcome:
        """Take a machine down; a repeated command for the same wave has no effect."""
        await anyio.sleep(0.002)
        worker = self.workers.get(machine.removeprefix("m-"))
        if worker is None:
            return MaintenanceOutcome.ABSENT
        if (machine, wave) in self._begun:
            return MaintenanceOutcome.BEGUN
        if self._is_down(machine) or machine in self.busy:
            return MaintenanceOutcome.BUSY
        self._begun.add((machine, wave))
        self._down_until_s[machine] = time.monotonic() + self.down_s
        self.log.append((machine, time.monotonic(), len(worker.running)))
        self.max_down_count = max(self.max_down_count, sum(map(self._is_down, self._down_until_s)))
        worker.restart()
        if self.lost_responses:
            self.lost_responses -= 1
            raise MachineCallError("no response")
        return MaintenanceOutcome.BEGUN
