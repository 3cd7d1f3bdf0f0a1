"""Waves of maintenance: machines go down in turn, at most so many at once, and in time."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from foxtailwell.adapters.events import (
    MACHINE_CALL_FAILED,
    MAINTENANCE_REFUSED,
    MAINTENANCE_STARTED,
    RECORD_UNREADABLE,
    WAVE_COMPLETED,
    WAVE_STARTED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._records import (
    CONTROLLER_KEY,
    RecordError,
    decode_wave_progress,
    encode_wave_progress,
    wave_key,
)
from foxtailwell.controller._watch import ChangeBatch
from foxtailwell.workflows import (
    Committed,
    JobRegistry,
    KeyValueStore,
    Machine,
    MachineCallError,
    MachineCalls,
    MachineState,
    MaintenanceOutcome,
    MaintenanceWave,
    Put,
    StoreCallError,
    Task,
    TaskState,
)

__all__ = [
    "MachinesListed",
    "MaintenanceAccess",
    "MaintenanceCommandFinished",
    "MaintenanceCoordinator",
    "MaintenanceEvent",
]

LISTING_PAUSE_S = 0.5
"""Pause between two listings of the machines; the platform allows 60 readings a second in all."""

FIRST_COMMAND_DELAY_S = 3.5
"""Time after an election without orders: holders must not take turns within 3 s."""

MAX_RENEWAL_AGE_S = 1.2
"""Age of the renewed lease up to which an order is sent; the lease lasts 1.5 s."""

SCHEDULE_MARGIN_S = 2.0
"""Time kept for listings and stops within the time that each machine has."""


@dataclass(frozen=True, slots=True)
class MaintenanceAccess:
    """How waves are read, their state is told, and machines are called.

    Attributes:
        down_s: Time for which an upkeep takes a machine away.
    """

    calls: MachineCalls
    down_s: float
    waves_prefix: str
    status_prefix: str
    decode_wave: Callable[[bytes], MaintenanceWave | None]
    encode_status: Callable[[int, bool], bytes]


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """The platform listed its machines."""

    machines: Mapping[str, Machine]


@dataclass(frozen=True, slots=True)
class MaintenanceCommandFinished:
    """An order was answered; `outcome` is None when it was not."""

    wave: int
    machine: str
    outcome: MaintenanceOutcome | None


MaintenanceEvent = MachinesListed | MaintenanceCommandFinished


@dataclass(slots=True)
class _OpenWave:
    """One wave.

    Attributes:
        cordoned_since_s: Machines that get no further start, and since when.
        settled_since_s: Machines whose upkeep has begun or that have left, and since when.
    """

    wave: MaintenanceWave
    cordoned_since_s: dict[str, float] = field(default_factory=dict)
    settled_since_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        return self.settled_since_s.keys() >= set(self.wave.machines)

    def drain_timeout_s(self, down_s: float) -> float:
        """Return how long runs on a machine may end by themselves before they are stopped."""
        rounds = -(-len(self.wave.machines) // self.wave.max_count)
        return max(0.0, self.wave.within_s / rounds - down_s - SCHEDULE_MARGIN_S)


class MaintenanceCoordinator:
    """Prepares machines, orders their upkeep, and tells which waves are complete.

    Args:
        access: Waves and machines of the platform.
        store: Keeps which machines have had their upkeep.
        token: Fencing token of this term.
        registry: Jobs, for the runs on each worker.
        renewed_s: Returns when the last renewed lease renewal was sent.
        now_s: Local clock that counts suspended time.
        events: Takes answers to the controller's main task.
    """

    def __init__(
        self,
        access: MaintenanceAccess,
        store: KeyValueStore,
        token: int,
        registry: JobRegistry,
        renewed_s: Callable[[], float],
        now_s: Callable[[], float],
        events: MemoryObjectSendStream[MaintenanceEvent],
    ) -> None:
        self._access = access
        self._store = store
        self._token = token
        self._registry = registry
        self._renewed_s = renewed_s
        self._now_s = now_s
        self._events = events
        self._created_s = now_s()
        self._waves: dict[int, _OpenWave] = {}
        self._machines: Mapping[str, Machine] = {}
        self._commands: list[tuple[int, str]] = []
        self._published: dict[int, tuple[int, bool]] = {}
        self._wake = anyio.Event()

    @property
    def waves_prefix(self) -> str:
        """Prefix of the keys under which operators ask for waves."""
        return self._access.waves_prefix

    async def on_waves(self, batch: ChangeBatch) -> None:
        """Take over what operators ask for."""
        for change in batch.changes:
            number = change.key[len(self._access.waves_prefix) :]
            if change.value is None:
                self._waves = {n: w for n, w in self._waves.items() if str(n) != number}
                continue
            wave = self._access.decode_wave(change.value)
            if wave is None:
                log_event(RECORD_UNREADABLE, key=change.key, reason="not a wave of upkeep")
            elif wave.number not in self._waves:
                await self._open(wave)

    async def _open(self, wave: MaintenanceWave) -> None:
        try:
            item = await self._store.get(wave_key(wave.number))
        except StoreCallError as failure:
            # Without its progress the wave is begun anew: repeated orders change nothing.
            log_event(MACHINE_CALL_FAILED, call="progress", reason=failure.reason)
            item = None
        settled: tuple[str, ...] = ()
        try:
            settled = decode_wave_progress(item.value) if item else ()
        except RecordError as error:
            log_event(RECORD_UNREADABLE, key=wave_key(wave.number), reason=str(error))
        now_s = self._now_s()
        self._waves[wave.number] = _OpenWave(wave, settled_since_s=dict.fromkeys(settled, now_s))
        log_event(WAVE_STARTED, wave=wave.number, machines=len(wave.machines), settled=len(settled))
        self._wake.set()

    def cordoned(self) -> frozenset[str]:
        """Return the workers that get no further start."""
        prepared = {m for wave in self._waves.values() for m in wave.cordoned_since_s}
        return frozenset(self._machines[m].worker for m in prepared if m in self._machines)

    def apply(self, event: MaintenanceEvent) -> None:
        """Take over a listing or an answer."""
        if isinstance(event, MachinesListed):
            self._machines = event.machines
            for wave in self._waves.values():
                for machine in set(wave.wave.machines) - event.machines.keys():
                    wave.settled_since_s.setdefault(machine, self._now_s())
            return
        found = self._waves.get(event.wave)
        if found is None:
            return
        if event.outcome in (MaintenanceOutcome.BEGUN, MaintenanceOutcome.ABSENT):
            log_event(MAINTENANCE_STARTED, wave=event.wave, machine=event.machine)
            found.settled_since_s[event.machine] = self._now_s()
            found.cordoned_since_s.pop(event.machine, None)
        elif event.outcome is not None:
            log_event(
                MAINTENANCE_REFUSED,
                wave=event.wave,
                machine=event.machine,
                reason=event.outcome.value,
            )

    def decide(self) -> list[Task]:
        """Choose machines and give orders.

        Returns:
            Runs that are to be stopped because their machine goes down.
        """
        stops: list[Task] = []
        for number, wave in self._waves.items():
            self._cordon(wave)
            for machine, since_s in wave.cordoned_since_s.items():
                tasks = self._tasks(machine)
                if not tasks:
                    self._queue_command(number, machine)
                elif self._now_s() - since_s >= wave.drain_timeout_s(self._access.down_s):
                    stops += self._stoppable(tasks)
        return stops

    def _cordon(self, wave: _OpenWave) -> None:
        known = [m for m in wave.wave.machines if m in self._machines]
        down = [m for m in known if m not in wave.cordoned_since_s and self._is_down(wave, m)]
        free = wave.wave.max_count - len(down) - len(wave.cordoned_since_s)
        waiting = [
            m for m in known if m not in wave.settled_since_s and m not in wave.cordoned_since_s
        ]
        waiting.sort(key=lambda m: len(self._tasks(m)))
        for machine in waiting[: max(0, free)]:
            wave.cordoned_since_s[machine] = self._now_s()

    def _is_down(self, wave: _OpenWave, machine: str) -> bool:
        # A listing that was under way may still show the machine as it was before its upkeep.
        since_s = self._now_s() - wave.settled_since_s.get(machine, -math.inf)
        return since_s < self._access.down_s or self._machines[machine].state is not MachineState.UP

    def _tasks(self, machine: str) -> list[Task]:
        found = self._machines.get(machine)
        return list(self._registry.placed_on(found.worker)) if found else []

    def _stoppable(self, tasks: list[Task]) -> list[Task]:
        """Leave out lasting tasks of which too many are away already."""
        stops: list[Task] = []
        stopping: dict[tuple[str, int, int], int] = {}
        for task in tasks:
            if task.state is not TaskState.ASSIGNED:
                continue
            job = self._registry.jobs[task.id.job_id]
            step = job.step(task.id)
            key = (task.id.job_id, task.id.occurrence, task.id.step)
            if step.is_lasting and step.max_unavailable is not None:
                members = job.step_tasks(task.id.occurrence, task.id.step)
                unavailable = sum(
                    not (m.state is TaskState.ASSIGNED and m.percent >= 100) for m in members
                )
                if unavailable + stopping.get(key, 0) >= step.max_unavailable:
                    continue
                stopping[key] = stopping.get(key, 0) + 1
            stops.append(task)
        return stops

    def _queue_command(self, number: int, machine: str) -> None:
        now_s = self._now_s()
        is_allowed = (
            now_s - self._created_s >= FIRST_COMMAND_DELAY_S
            and now_s - self._renewed_s() < MAX_RENEWAL_AGE_S
        )
        if is_allowed and (number, machine) not in self._commands:
            self._commands.append((number, machine))
            self._wake.set()

    async def run(self) -> None:
        """List machines, send orders and tell the state of waves while one is open."""
        while True:
            if not self._waves:
                self._wake = anyio.Event()
                await self._wake.wait()
            while self._commands:
                await self._send_command(*self._commands[0])
                self._commands.pop(0)
            try:
                machines = await self._access.calls.list_machines()
                await self._events.send(MachinesListed({m.name: m for m in machines}))
            except MachineCallError as failure:
                log_event(MACHINE_CALL_FAILED, call="list", reason=failure.reason)
            await self._publish_states()
            self._wake = anyio.Event()
            with anyio.move_on_after(LISTING_PAUSE_S):
                await self._wake.wait()

    async def _send_command(self, number: int, machine: str) -> None:
        if self._now_s() - self._renewed_s() >= MAX_RENEWAL_AGE_S:
            return
        outcome: MaintenanceOutcome | None = None
        try:
            outcome = await self._access.calls.begin_maintenance(machine, number, self._token)
        except MachineCallError as failure:
            # The next decision sends it again; a repeated order is answered with success.
            log_event(MACHINE_CALL_FAILED, call="upkeep", machine=machine, reason=failure.reason)
        await self._events.send(MaintenanceCommandFinished(number, machine, outcome))

    async def _publish_states(self) -> None:
        for number, wave in list(self._waves.items()):
            state = (len(wave.settled_since_s), wave.is_complete)
            if self._published.get(number) == state:
                continue
            progress = encode_wave_progress(wave.settled_since_s)
            status = self._access.encode_status(number, wave.is_complete)
            puts = [
                Put(wave_key(number), progress),
                Put(f"{self._access.status_prefix}{number}", status),
            ]
            try:
                result = await self._store.transact({CONTROLLER_KEY: self._token}, puts)
            except StoreCallError as failure:
                log_event(MACHINE_CALL_FAILED, call="status", reason=failure.reason)
                continue
            if not isinstance(result, Committed):
                # Another instance holds the key and tells the states from now on.
                return
            self._published[number] = state
            if wave.is_complete:
                log_event(WAVE_COMPLETED, wave=number)
                self._waves.pop(number, None)
