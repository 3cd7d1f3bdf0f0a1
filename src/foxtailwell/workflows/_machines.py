"""Machines of the platform, and maintenance waves that operators request."""

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
    """State of a machine as listed by the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class MaintenanceOutcome(StrEnum):
    """Response of the platform to a maintenance command.

    Attributes:
        BEGUN: The maintenance has begun, now or by an earlier command of the same wave.
        ABSENT: The platform has no such machine.
        FENCED: The platform has seen a newer fencing token.
        BUSY: The machine is not available for maintenance now.
        OTHER_WAVE: The platform does not accept the machine for this wave.
        LIMITED: The platform accepts no further commands now; retry later.
    """

    BEGUN = "begun"
    ABSENT = "absent"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other wave"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine and the identifier of the worker that runs on it now."""

    name: str
    state: MachineState
    worker: str


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Set of machines on which operators request maintenance.

    Attributes:
        within_s: Time within which the maintenance of every machine must have begun.
        max_count: Limit of the wave's machines that are down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    max_count: int


class MachineCallError(CallFailedError):
    """The platform gave no usable response; the call may still take effect."""


class MachineCalls(Protocol):
    """Machine interface of the platform. Every method may raise `MachineCallError`."""

    async def list_machines(self) -> Sequence[Machine]:
        """Return all machines that the platform lists."""

    async def begin_maintenance(self, machine: str, wave: int, token: int) -> MaintenanceOutcome:
        """Take a machine down for maintenance, which ends all runs on it.

        A command that is repeated for the same machine and wave has no further effect.

        Args:
            machine: Name of the machine.
            wave: Number of the wave.
            token: Fencing token.
        """
