"""Machines of the platform, and waves of upkeep that operators ask for."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from foxtailwell.workflows._interfaces import CallFailedError

__all__ = [
    "Machine",
    "MachineCallError",
    "MachineCalls",
    "MachineState",
    "MaintenanceOutcome",
    "MaintenanceWave",
]


class MachineState(StrEnum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class MaintenanceOutcome(StrEnum):
    """Response to an order for upkeep."""

    BEGUN = "begun"
    ABSENT = "absent"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other wave"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine and the worker that runs on it now."""

    name: str
    state: MachineState
    worker: str


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines that are to have their upkeep.

    Attributes:
        within_s: Time in which every machine must have begun.
        max_count: Machines of the wave that may be down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    max_count: int


class MachineCallError(CallFailedError):
    """The platform gave no usable answer; the call may be carried out later."""


class MachineCalls(Protocol):
    """The platform's machines. Every method may raise `MachineCallError`."""

    async def list_machines(self) -> Sequence[Machine]:
        """Return all machines."""

    async def begin_maintenance(self, machine: str, wave: int, token: int) -> MaintenanceOutcome:
        """Take a machine down for its upkeep, which ends everything that runs there."""
