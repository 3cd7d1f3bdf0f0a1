"""Faults of a soak: a random series from a seed, and how each is brought about and ended."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, fields

import anyio
from anyio.abc import TaskGroup

from foxtailwell_soak._fleet import ZONES, Fleet, InstanceProcess, is_signal_handled, restore_links
from foxtailwell_soak._operators import Operators
from foxtailwell_standins.platform_store import StoreFaults
from foxtailwell_standins.relay import LinkFailures, RelayState

__all__ = ["Fault", "FaultInjector", "draw_faults"]

FIRST_S = 1.5
"""Time before the first fault, in which the instances come up and take work."""

GAP_S = (0.1, 1.6)
"""Pause between the beginnings of two faults; they last longer, so that they overlap."""

LASTS_S = (0.3, 4.0)
"""Length of a fault; the longest outlasts the lease of the controller and of stopped runs."""

RESTART_S = (0.05, 1.5)
"""Pause before a killed instance is started again."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: Name of a method of `FaultInjector`.
        target: Number from which the kind chooses what is hit.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a series of overlapping faults.

    Args:
        rng: Source of choices.
        length_s: Time in which faults begin.
    """
    faults: list[Fault] = []
    at_s = FIRST_S
    while at_s < length_s:
        kind = rng.choice(FAULT_KINDS)
        faults.append(Fault(at_s, kind, rng.getrandbits(16), rng.uniform(*LASTS_S)))
        at_s += rng.uniform(*GAP_S)
    return faults


class FaultInjector:
    """Brings faults about and ends them.

    Args:
        fleet: What is hit.
        operators: Make changes meanwhile.
        rng: Source of pauses.
        note: Told of each fault as it begins.
    """

    def __init__(
        self,
        fleet: Fleet,
        operators: Operators,
        rng: random.Random,
        note: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._operators = operators
        self._rng = rng
        self._note = note

    async def play(self, faults: list[Fault], began_s: float) -> None:
        """Play a series and wait for the end of each fault."""
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
                self._note(f"{fault.at_s:6.2f} {fault.kind} {fault.target} for {fault.for_s:.2f} s")
                group.start_soon(self._run, fault)
        await self._heal()

    async def _run(self, fault: Fault) -> None:
        act: Callable[[Fault], Awaitable[None]] = getattr(self, fault.kind)
        await act(fault)

    async def _heal(self) -> None:
        fleet = self._fleet
        restore_links([i.store_link for i in fleet.instances] + [w.link for w in fleet.workers])
        for instance in fleet.instances:
            _copy_faults(instance.store_faults, StoreFaults())
            instance.signal(signal.SIGCONT)
        self._set_all(StoreFaults())

    def keep_running(self, group: TaskGroup) -> None:
        """Start instances again that have ended, as the platform does."""

        async def keep(instance: InstanceProcess) -> None:
            while True:
                process = instance.process
                if (
                    process is not None
                    and process.poll() is not None
                    and instance.termination_sent_s
                ):
                    await anyio.sleep(self._rng.uniform(*RESTART_S))
                    instance.termination_sent_s = 0.0
                    instance.start()
                await anyio.sleep(0.05)

        for instance in self._fleet.instances:
            group.start_soon(keep, instance)

    # Instances

    def _instance(self, fault: Fault) -> InstanceProcess:
        if fault.target % 2:
            return self._controller()
        return self._fleet.instances[fault.target // 2 % len(self._fleet.instances)]

    def _controller(self) -> InstanceProcess:
        item = self._fleet.store.items.get("foxtailwell/controller")
        name = item.value.decode().partition(" ")[0] if item else ""
        found = [i for i in self._fleet.instances if i.name == name]
        return found[0] if found else self._fleet.instances[0]

    async def kill(self, fault: Fault) -> None:
        """Kill an instance."""
        self._instance(fault).signal(signal.SIGKILL)

    async def kill_all(self, fault: Fault) -> None:
        """Kill all instances at once."""
        for instance in self._fleet.instances:
            instance.signal(signal.SIGKILL)

    async def terminate(self, fault: Fault) -> None:
        """Stop an instance as a planned restart does."""
        self._instance(fault).signal(signal.SIGTERM)

    async def reload(self, fault: Fault) -> None:
        """Tell an instance that its settings file has changed."""
        instance = self._instance(fault)
        # Until the interpreter has run the first line of the program, SIGHUP ends any process.
        if instance.process and is_signal_handled(instance.process.pid, signal.SIGHUP):
            instance.signal(signal.SIGHUP)

    async def pause(self, fault: Fault) -> None:
        """Suspend an instance."""
        instance = self._instance(fault)
        process = instance.process
        instance.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        if instance.process is process:
            instance.signal(signal.SIGCONT)

    # Links

    def _link(self, fault: Fault) -> RelayState:
        links = [i.store_link for i in self._fleet.instances] + [
            w.link for w in self._fleet.workers
        ]
        return links[fault.target % len(links)]

    async def _disturb(self, fault: Fault, failures: LinkFailures) -> None:
        link = self._link(fault)
        link.set_failures(failures)
        await anyio.sleep(fault.for_s)
        link.set_failures(LinkFailures())

    async def reset_link(self, fault: Fault) -> None:
        """Reset the connections of a link, once."""
        link = self._link(fault)
        link.set_failures(LinkFailures(cut=True))
        link.set_failures(LinkFailures())

    async def refuse_link(self, fault: Fault) -> None:
        """Close every connection of a link at once."""
        await self._disturb(fault, LinkFailures(cut=True))

    async def delay_link(self, fault: Fault) -> None:
        """Delay a link."""
        await self._disturb(fault, LinkFailures(delay_ms=200, jitter_ms=200))

    async def silence_link(self, fault: Fault) -> None:
        """Lose all bytes of a link; its connections stay open."""
        await self._disturb(fault, LinkFailures(drop=("to_target", "to_client")))

    async def lose_answers(self, fault: Fault) -> None:
        """Lose the bytes of one direction: calls are carried out and not answered."""
        await self._disturb(fault, LinkFailures(drop=("to_client",)))

    async def lose_calls(self, fault: Fault) -> None:
        """Lose the bytes of the other direction."""
        await self._disturb(fault, LinkFailures(drop=("to_target",)))

    # Store

    def _set_all(self, faults: StoreFaults) -> None:
        _copy_faults(self._fleet.shared_store_faults, faults)
        for instance in self._fleet.instances:
            _copy_faults(instance.store_faults, faults)

    async def store_down(self, fault: Fault) -> None:
        """Refuse every call of the store; leases run out meanwhile."""
        self._set_all(StoreFaults(is_down=True))
        await anyio.sleep(fault.for_s)
        self._set_all(StoreFaults())

    async def store_refuses(self, fault: Fault) -> None:
        """Refuse the calls of one instance."""
        faults = self._instance(fault).store_faults
        faults.is_down = True
        await anyio.sleep(fault.for_s)
        faults.is_down = False

    async def store_loses(self, fault: Fault) -> None:
        """Carry out some writes of an instance without an answer."""
        self._instance(fault).store_faults.lost_write_responses = 1 + fault.target % 4

    async def store_is_late(self, fault: Fault) -> None:
        """Carry out some writes of an instance later, without an answer."""
        self._instance(fault).store_faults.delayed_writes = 1 + fault.target % 4
        await anyio.sleep(fault.for_s)
        self._fleet.store.apply_delayed()

    async def store_forgets(self, fault: Fault) -> None:
        """Report nothing to watches for a while, then drop the history."""
        for instance in self._fleet.instances:
            instance.store_faults.is_watch_stalled = True
        await anyio.sleep(min(fault.for_s, 1.0))
        for instance in self._fleet.instances:
            instance.store_faults.is_watch_stalled = False
        self._fleet.store.drop_history()

    # Workers

    async def worker_crash(self, fault: Fault) -> None:
        """Let a worker restart under the same identifier."""
        port = self._fleet.workers[fault.target % len(self._fleet.workers)]
        if not port.is_removed:
            port.worker.restart()
            self._fleet.publish(port)

    async def worker_refuses(self, fault: Fault) -> None:
        """Let a worker refuse starts."""
        faults = self._fleet.workers[fault.target % len(self._fleet.workers)].worker.faults
        faults.is_unhealthy = True
        await anyio.sleep(fault.for_s)
        faults.is_unhealthy = False

    async def worker_is_late(self, fault: Fault) -> None:
        """Carry out some starts of a worker later, without an answer."""
        worker = self._fleet.workers[fault.target % len(self._fleet.workers)].worker
        worker.faults.delayed_starts = 1 + fault.target % 3
        await anyio.sleep(fault.for_s)
        worker.apply_delayed()

    async def worker_loses(self, fault: Fault) -> None:
        """Carry out some starts of a worker without an answer."""
        worker = self._fleet.workers[fault.target % len(self._fleet.workers)].worker
        worker.faults.lost_start_responses = 1 + fault.target % 3

    async def worker_stands_still(self, fault: Fault) -> None:
        """Let the runs of a worker stand still."""
        faults = self._fleet.workers[fault.target % len(self._fleet.workers)].worker.faults
        faults.is_stalled = True
        await anyio.sleep(fault.for_s)
        faults.is_stalled = False

    # Operators

    async def worker_leaves(self, fault: Fault) -> None:
        """Let a worker drain, leave and come back."""
        port = self._fleet.workers[fault.target % len(self._fleet.workers)]
        await self._operators.drain(port, fault.for_s)

    async def zone_out(self, fault: Fault) -> None:
        """Take a zone out of service."""
        await self._operators.evacuate_zone(ZONES[fault.target % len(ZONES)], 2 * fault.for_s)

    async def key_taken(self, fault: Fault) -> None:
        """Take a key away for longer than it may go on working."""
        await self._operators.revoke_key(6.0 + fault.for_s)

    async def configuration_storm(self, fault: Fault) -> None:
        """Store configurations in quick succession."""
        for _ in range(12):
            self._operators.configure()
            await anyio.sleep(0.05)


def _copy_faults(to: StoreFaults, faults: StoreFaults) -> None:
    for field in fields(faults):
        setattr(to, field.name, getattr(faults, field.name))


FAULT_KINDS = (
    "kill",
    "kill_all",
    "terminate",
    "reload",
    "pause",
    "reset_link",
    "refuse_link",
    "delay_link",
    "silence_link",
    "lose_answers",
    "lose_calls",
    "store_down",
    "store_refuses",
    "store_loses",
    "store_is_late",
    "store_forgets",
    "worker_crash",
    "worker_refuses",
    "worker_is_late",
    "worker_loses",
    "worker_stands_still",
    "worker_leaves",
    "zone_out",
    "key_taken",
    "configuration_storm",
)
"""Kinds of faults, each a method of `FaultInjector`."""
