"""Carries out maintenance waves: cordons machines, drains them and begins their maintenance.

A wave limits how many of its machines are down at once and sets a time limit. The classes belong to
the workflows model.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from foxtailwell.adapters.events import (
    MACHINE_CALL_FAILED,
    MACHINE_RELEASED,
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
from foxtailwell.controller._waves import DisruptionBudgets, OpenWave
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
)

__all__ = [
    "MachinesListed",
    "MaintenanceAccess",
    "MaintenanceCommandFinished",
    "MaintenanceCoordinator",
    "MaintenanceEvent",
]

LISTING_PAUSE_S = 0.5
"""Pause between two listings of the machines; the platform allows 60 reads per second in total."""

FIRST_COMMAND_DELAY_S = 3.5
"""Delay of the first command after an election; two senders must not alternate within 3 s."""

MAX_RENEWAL_AGE_S = 1.2
"""Longest time since the last lease renewal to send a command; the lease lasts 1.5 s."""

BLOCKED_GRACE_S = 3.0
"""Time beyond the maintenance of another machine for which a blocked machine stays cordoned.

A task that this maintenance has ended is usually at work again by then.
"""

LISTING_TIMEOUT_S = 3.0
"""Time without a listing after which nothing is drained, as commands would hardly be answered."""

LATE_COMMAND_S = FIRST_COMMAND_DELAY_S
"""Time within which a command that got no response may still take effect."""

_REJECTIONS = frozenset({MaintenanceOutcome.BUSY, MaintenanceOutcome.OTHER_WAVE})
"""Outcomes that concern one machine; others of its wave may be accepted meanwhile."""


@dataclass(frozen=True, slots=True)
class MaintenanceAccess:
    """Access to the operators' waves in the store and to the platform's machines.

    Attributes:
        calls: Machine interface of the platform.
        down_s: Time for which a machine is down for maintenance.
        waves_prefix: Prefix of the store keys under which operators request waves.
        status_prefix: Prefix of the store keys under which the state of waves is published.
        decode_wave: Decodes a requested wave; returns None if it is malformed.
        encode_status: Encodes the state of a wave, given its number and whether it is complete.
    """

    calls: MachineCalls
    down_s: float
    waves_prefix: str
    status_prefix: str
    decode_wave: Callable[[bytes], MaintenanceWave | None]
    encode_status: Callable[[int, bool], bytes]


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """Machines by name, as the platform lists them now."""

    machines: Mapping[str, Machine]


@dataclass(frozen=True, slots=True)
class MaintenanceCommandFinished:
    """A maintenance command got a response, or failed if `outcome` is None."""

    wave: int
    machine: str
    outcome: MaintenanceOutcome | None


MaintenanceEvent = MachinesListed | MaintenanceCommandFinished


class MaintenanceCoordinator:
    """Cordons and drains machines, begins their maintenance, and publishes the state of waves.

    Args:
        access: Waves and machines of the platform.
        store: Stores which machines of a wave are settled, and the published state.
        token: Fencing token of this term.
        registry: Unfinished jobs, for the runs on each worker.
        renewed_s: Returns the local time at which the last successful renewal of the controller
            key's lease was sent.
        now_s: Local clock that also advances while the machine is suspended.
        events: Passes listings and outcomes to the controller's main task.
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
        self._waves: dict[int, OpenWave] = {}
        self._machines: Mapping[str, Machine] = {}
        self._unlisted: frozenset[str] = frozenset()
        self._commands: list[tuple[int, str]] = []
        self._listed_s = -math.inf
        self._published: dict[int, tuple[int, bool]] = {}
        self._wake = anyio.Event()

    @property
    def waves_prefix(self) -> str:
        """Prefix of the store keys under which operators request waves."""
        return self._access.waves_prefix

    async def on_waves(self, batch: ChangeBatch) -> None:
        """Open the waves that operators request and drop those whose keys are deleted.

        A snapshot replaces changes that were missed, deletions among them.
        """
        if batch.is_snapshot:
            listed = {change.key for change in batch.changes}
            prefix = self._access.waves_prefix
            self._waves = {n: w for n, w in self._waves.items() if f"{prefix}{n}" in listed}
        for change in batch.changes:
            number = change.key[len(self._access.waves_prefix) :]
            if change.value is None:
                self._waves = {n: w for n, w in self._waves.items() if str(n) != number}
                continue
            wave = self._access.decode_wave(change.value)
            if wave is None:
                log_event(RECORD_UNREADABLE, key=change.key, reason="not a maintenance wave")
            elif wave.number not in self._waves:
                await self._open(wave)

    async def _open(self, wave: MaintenanceWave) -> None:
        try:
            item = await self._store.get(wave_key(wave.number))
        except StoreCallError as failure:
            # Without its progress the wave starts over; repeated commands have no further effect.
            log_event(MACHINE_CALL_FAILED, call="progress", reason=failure.reason)
            item = None
        settled: tuple[str, ...] = ()
        try:
            settled = decode_wave_progress(item.value) if item else ()
        except RecordError as error:
            log_event(RECORD_UNREADABLE, key=wave_key(wave.number), reason=str(error))
        now_s = self._now_s()
        self._waves[wave.number] = OpenWave(wave, settled_since_s=dict.fromkeys(settled, now_s))
        log_event(WAVE_STARTED, wave=wave.number, machines=len(wave.machines), settled=len(settled))
        self._wake.set()

    def cordoned(self) -> frozenset[str]:
        """Return the identifiers of workers on cordoned machines, which get no further start."""
        cordoned = {m for wave in self._waves.values() for m in wave.cordoned}
        return frozenset(self._machines[m].worker for m in cordoned if m in self._machines)

    def apply(self, event: MaintenanceEvent) -> None:
        """Apply a listing of machines or the outcome of a command."""
        if isinstance(event, MachinesListed):
            self._apply_machines(event.machines)
            return
        found = self._waves.get(event.wave)
        if found is None:
            return
        now_s = self._now_s()
        turns = found.turns_of(event.machine)
        if event.outcome in (MaintenanceOutcome.BEGUN, MaintenanceOutcome.ABSENT):
            log_event(MAINTENANCE_STARTED, wave=event.wave, machine=event.machine)
            found.settled_since_s[event.machine] = now_s
            turns.end()
            return
        if event.outcome is None:
            found.unanswered_s[event.machine] = now_s
        else:
            log_event(
                MAINTENANCE_REFUSED,
                wave=event.wave,
                machine=event.machine,
                reason=event.outcome.value,
            )
        if event.outcome in _REJECTIONS:
            turns.note_rejection(now_s)
        else:
            turns.note_failure(now_s)

    def _apply_machines(self, listed: Mapping[str, Machine]) -> None:
        """Apply a listing, in which a machine that two in a row do not have counts as removed.

        The pages of a listing are read one after the other, so that it may lack a machine that is
        there.
        """
        self._listed_s = self._now_s()
        requested = {m for wave in self._waves.values() for m in wave.wave.machines}
        unlisted = (requested | self._machines.keys()) - listed.keys()
        removed = unlisted & self._unlisted
        self._unlisted = frozenset(unlisted)
        kept = {name: m for name, m in self._machines.items() if name not in removed}
        self._machines = kept | dict(listed)
        for wave in self._waves.values():
            for machine in removed.intersection(wave.wave.machines):
                wave.settled_since_s.setdefault(machine, self._now_s())
                wave.turns_of(machine).end()

    def decide(self) -> list[Task]:
        """Cordon machines, and queue commands for those without runs.

        A machine is cordoned only while its runs may be stopped, so that it becomes empty.

        Returns:
            Runs to be stopped because the drain timeout of their machine has passed.
        """
        is_responding = self._now_s() - self._listed_s <= LISTING_TIMEOUT_S
        budgets = DisruptionBudgets(self._registry)
        stops: list[Task] = []
        for wave in self._waves.values():
            self._abort_turns(wave)
            for machine in wave.cordoned:
                if is_responding:
                    stops += self._advance(wave, machine, budgets)
                else:
                    wave.turns[machine].note_failure(self._now_s())
            for machine in self._begin_turns(wave, budgets) if is_responding else ():
                stops += self._advance(wave, machine, budgets)
        return stops

    def _is_drained(self, wave: OpenWave, machine: str, tasks: Iterable[Task]) -> bool:
        """Return whether waiting for the runs on a machine to end by themselves is over."""
        now_s = self._now_s()
        drained_s = now_s - wave.turns_of(machine).due_since_s
        if drained_s >= wave.drain_timeout_s(self._access.down_s):
            return True
        are_lasting = all(self._registry.jobs[t.id.job_id].step(t.id).is_lasting for t in tasks)
        return are_lasting and self._may_command()

    def _advance(self, wave: OpenWave, machine: str, budgets: DisruptionBudgets) -> list[Task]:
        """Return the runs to stop on a cordoned machine, or queue its command if it has none."""
        turns = wave.turns[machine]
        tasks = self._tasks(machine)
        now_s = self._now_s()
        if not tasks:
            turns.blocked_since_s = math.inf
            if not turns.is_failing(now_s):
                self._queue_command(wave.wave.number, machine)
            return []
        if not budgets.permit_progress(tasks):
            turns.blocked_since_s = min(turns.blocked_since_s, now_s)
            return []
        turns.blocked_since_s = math.inf
        if not self._is_drained(wave, machine, tasks):
            return []
        stops = budgets.take(tasks)
        turns.has_stopped_runs = turns.has_stopped_runs or bool(stops)
        return stops

    def _abort_turns(self, wave: OpenWave) -> None:
        """Release machines whose maintenance cannot begin, so that they run tasks meanwhile.

        A machine to which a command is queued, or may still take effect, stays cordoned: it might
        go down with runs on it, and beside the next machine.
        """
        now_s = self._now_s()
        blocked_limit_s = self._access.down_s + BLOCKED_GRACE_S
        for machine in wave.cordoned:
            turns = wave.turns[machine]
            is_blocked = now_s - turns.blocked_since_s >= blocked_limit_s
            is_settled = now_s - wave.unanswered_s.get(machine, -math.inf) >= LATE_COMMAND_S
            is_queued = (wave.wave.number, machine) in self._commands
            if (is_blocked or turns.is_failing(now_s)) and is_settled and not is_queued:
                log_event(
                    MACHINE_RELEASED,
                    wave=wave.wave.number,
                    machine=machine,
                    reason="blocked" if is_blocked else "failing",
                    pause_s=turns.abort(now_s),
                )

    def _begin_turns(self, wave: OpenWave, budgets: DisruptionBudgets) -> list[str]:
        """Cordon machines whose runs may be stopped, and return them."""
        known = [m for m in wave.wave.machines if m in self._machines]
        cordoned = wave.cordoned
        down = [m for m in known if m not in cordoned and self._is_down(wave, m)]
        free = wave.wave.max_count - len(down) - len(cordoned)
        now_s = self._now_s()
        waiting = [
            m
            for m in known
            if m not in wave.settled_since_s
            and m not in cordoned
            and now_s >= wave.turns_of(m).paused_until_s
        ]
        waiting.sort(key=lambda m: (wave.turns_of(m).aborted_count, len(self._tasks(m))))
        begun: list[str] = []
        for machine in waiting:
            if len(begun) >= free:
                break
            turns = wave.turns_of(machine)
            turns.due_since_s = min(turns.due_since_s, now_s)
            if budgets.permit_progress(self._tasks(machine)):
                turns.begin(now_s)
                begun.append(machine)
        return begun

    def _is_down(self, wave: OpenWave, machine: str) -> bool:
        # A listing sent before may still show the state of the machine before its maintenance.
        since_s = self._now_s() - wave.settled_since_s.get(machine, -math.inf)
        return since_s < self._access.down_s or self._machines[machine].state is not MachineState.UP

    def _tasks(self, machine: str) -> list[Task]:
        found = self._machines.get(machine)
        return list(self._registry.placed_on(found.worker)) if found else []

    def _may_command(self) -> bool:
        """Return whether this term has lasted long enough, and is recent enough, for commands."""
        now_s = self._now_s()
        has_begun = now_s - self._created_s >= FIRST_COMMAND_DELAY_S
        return has_begun and now_s - self._renewed_s() < MAX_RENEWAL_AGE_S

    def _queue_command(self, number: int, machine: str) -> None:
        if self._may_command() and (number, machine) not in self._commands:
            self._commands.append((number, machine))
            self._wake.set()

    async def run(self) -> None:
        """List machines, send commands and publish states while a wave is open."""
        while True:
            if not self._waves:
                self._wake = anyio.Event()
                await self._wake.wait()
            while self._commands:
                if self._is_wanted(*self._commands[0]):
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

    def _is_wanted(self, number: int, machine: str) -> bool:
        """Return whether a machine is still to go down, as its wave may have been withdrawn."""
        wave = self._waves.get(number)
        is_cordoned = wave is not None and wave.turns_of(machine).is_cordoned
        return is_cordoned and not self._tasks(machine)

    async def _send_command(self, number: int, machine: str) -> None:
        if self._now_s() - self._renewed_s() >= MAX_RENEWAL_AGE_S:
            return
        outcome: MaintenanceOutcome | None = None
        try:
            outcome = await self._access.calls.begin_maintenance(machine, number, self._token)
        except MachineCallError as failure:
            # The next decision retries it; the response to a repeated command is a success.
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
                # Another instance holds the controller key and publishes the states from now on.
                return
            self._published[number] = state
            if wave.is_complete:
                log_event(WAVE_COMPLETED, wave=number)
                self._waves.pop(number, None)
