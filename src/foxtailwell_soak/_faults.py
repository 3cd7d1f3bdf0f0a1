"""Faults of a soak test: a random schedule from a seed, and the injection of each fault."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, fields, replace

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell_soak._fleet import (
    BOUNDS,
    HEARTBEAT_S,
    WORKER_CAPACITY,
    ZONES,
    Fleet,
    InstanceProcess,
    WorkerHandle,
    is_signal_handled,
    restore_links,
)
from foxtailwell_soak._operators import Operators
from foxtailwell_standins.platform_store import StoreFaults
from foxtailwell_standins.platform_worker import MemoryWorker
from foxtailwell_standins.relay import LinkFailures, RelayState

__all__ = [
    "Fault",
    "FaultInjector",
    "draw_crash_waves",
    "draw_cuts",
    "draw_faults",
    "draw_lasting_faults",
    "draw_workload_faults",
]

FIRST_FAULT_S = 1.5
"""Time before the first fault, in which the instances start and accept jobs."""

INTERVAL_S = (0.1, 1.6)
"""Range of the time between the starts of two faults; faults last longer, so they overlap."""

DURATION_S = (0.3, 4.0)
"""Range of the duration of a fault; the longest outlasts the controller's lease."""

OUTLASTING_S = 1.1 * BOUNDS.max_hold_ms / 1000 + 2.0
"""Time after which a silent worker is unresponsive and the leases of its runs have ended."""

CHANGE_AFTER_S = 1.0
"""Time from a cut to the change behind it; as long, commands without a response wait next."""

RESTART_S = 0.25
"""Least time for which a restarting worker is silent."""

MAX_FLIGHT_S = 2.0
"""Time after which no earlier call is under way; delays of a link add up to 0.8 s."""

LATE_STARTS = 4
"""Most starts that a worker carries out late behind a cut."""

WAVE_SHARE = (0.3, 0.95)
"""Range of the share of workers that crash together."""

WAVES_ALONE_S = 8.0
"""Time in which waves of crashes go on after the last other faults have begun."""

LONG_JOBS = 3
"""Long jobs submitted after each wave; short tasks mostly end between two waves."""

RESTART_DELAY_S = (0.05, 1.5)
"""Range of the delay before a killed instance is started again."""


def _entry(state: str, port: int, cpu: str, remaining_ms: str, extra: str) -> bytes:
    # Written as text, because encoders refuse such values.
    return (
        f'{{"service":"pool","address":"127.0.0.1:{port}","zone":"a","state":"{state}","born":1,'
        f'"capacity":{{"cpu":{cpu},"mem_mb":8000,"gpu":8}},"remaining_ms":{remaining_ms},'
        f'"extra":{extra}}}'
    ).encode()


_HUGE = f"{10**400}"

ODD_ENTRIES = (
    _entry("ready", 9, "8000", "null", "[" * 100_000 + "]" * 100_000),
    _entry("draining", 9, "8000", _HUGE, "0"),
    _entry("ready", 9, _HUGE, "null", "0"),
    _entry("ready", 99_999, "8000", "null", "0"),
)
"""Worker entries of another writer: deep nesting, numbers too large, a port out of range."""


SILENCE = LinkFailures(drop=("to_target", "to_client"))
RESPONSES_LOST = LinkFailures(drop=("to_client",))


@dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    Attributes:
        at_s: Start of the fault, since the start of the test.
        kind: Name of a method of `FaultInjector`.
        target: Random number from which the method selects its target.
        for_s: Duration; some kinds ignore or change it.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw_faults(
    rng: random.Random,
    length_s: float,
    kinds: Sequence[str] | None = None,
    interval_s: tuple[float, float] = INTERVAL_S,
) -> list[Fault]:
    """Return a random schedule of overlapping faults.

    Args:
        rng: Random source; the order of draws determines the schedule of a seed.
        length_s: Time in which faults start.
        kinds: Kinds to draw from; `FAULT_KINDS` if omitted.
        interval_s: Range of the time between the starts of two faults.
    """
    faults: list[Fault] = []
    at_s = FIRST_FAULT_S
    while at_s < length_s:
        kind = rng.choice(kinds or FAULT_KINDS)
        faults.append(Fault(at_s, kind, rng.getrandbits(16), rng.uniform(*DURATION_S)))
        at_s += rng.uniform(*interval_s)
    return faults


def draw_workload_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a random schedule of fatal jobs and shrinking workers.

    Args:
        rng: Random source; the order of draws determines the schedule of a seed.
        length_s: Time in which faults start.
    """
    return draw_faults(rng, length_s, WORKLOAD_FAULT_KINDS, WORKLOAD_INTERVAL_S)


def draw_lasting_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a random schedule of workers that stay silent and entries that nobody answers for.

    Args:
        rng: Random source; the order of draws determines the schedule of a seed.
        length_s: Time in which faults start.
    """
    return draw_faults(rng, length_s, LASTING_FAULT_KINDS, LASTING_INTERVAL_S)


def draw_cuts(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a random schedule of workers that change while they are cut off.

    Args:
        rng: Random source; the order of draws determines the schedule of a seed.
        length_s: Time in which faults start.
    """
    return draw_faults(rng, length_s, CUT_KINDS, CUT_INTERVAL_S)


def draw_crash_waves(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a random schedule of crashes of many workers at once.

    The last ones meet a controller that has seen those before.

    Args:
        rng: Random source; the order of draws determines the schedule of a seed.
        length_s: Time in which other faults start; waves go on for `WAVES_ALONE_S`.
    """
    return draw_faults(rng, length_s + WAVES_ALONE_S, WAVE_KINDS, WAVE_INTERVAL_S)


class FaultInjector:
    """Injects faults into a deployment and removes them.

    Args:
        fleet: The deployment.
        operators: Makes the operator changes that count as faults.
        rng: Random source of restart delays.
        report: Called with a description of each fault when it starts.
    """

    def __init__(
        self,
        fleet: Fleet,
        operators: Operators,
        rng: random.Random,
        report: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._operators = operators
        self._rng = rng
        self._report = report
        self._silenced: set[str] = set()

    async def run(self, faults: list[Fault], start_s: float) -> None:
        """Inject scheduled faults, wait for their ends and then remove all remaining effects.

        Args:
            faults: The schedule.
            start_s: Start of the test on the monotonic clock.
        """
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
                self._report(
                    f"{fault.at_s:6.2f} {fault.kind} {fault.target} for {fault.for_s:.2f} s"
                )
                group.start_soon(self._inject, fault)
        await self._remove_faults()

    async def _inject(self, fault: Fault) -> None:
        inject: Callable[[Fault], Awaitable[None]] = getattr(self, fault.kind)
        await inject(fault)

    async def _remove_faults(self) -> None:
        fleet = self._fleet
        restore_links([i.store_link for i in fleet.instances] + [w.link for w in fleet.workers])
        for instance in fleet.instances:
            _assign_faults(instance.store_faults, StoreFaults())
            instance.signal(signal.SIGCONT)
        self._set_shared_store_faults(StoreFaults())

    def keep_running(self, group: TaskGroup) -> None:
        """Restart instances that the test has stopped, as the platform does."""

        async def supervise(instance: InstanceProcess) -> None:
            while True:
                process = instance.process
                if (
                    process is not None
                    and process.poll() is not None
                    and instance.termination_sent_s
                ):
                    await anyio.sleep(self._rng.uniform(*RESTART_DELAY_S))
                    instance.termination_sent_s = 0.0
                    instance.start()
                await anyio.sleep(0.05)

        for instance in self._fleet.instances:
            group.start_soon(supervise, instance)

    # Instances

    def _instance(self, fault: Fault) -> InstanceProcess:
        if fault.target % 2:
            return self._controller()
        return self._fleet.instances[fault.target // 2 % len(self._fleet.instances)]

    def _controller(self) -> InstanceProcess:
        item = self._fleet.store.items.get("foxtailwell/controller")
        name = item.value.decode().partition(" ")[0] if item else ""
        matches = [i for i in self._fleet.instances if i.name == name]
        return matches[0] if matches else self._fleet.instances[0]

    async def kill(self, fault: Fault) -> None:
        """Kill an instance with SIGKILL."""
        self._instance(fault).signal(signal.SIGKILL)

    async def kill_all(self, fault: Fault) -> None:
        """Kill all instances at once with SIGKILL."""
        for instance in self._fleet.instances:
            instance.signal(signal.SIGKILL)

    async def terminate(self, fault: Fault) -> None:
        """Stop an instance with SIGTERM, as a planned restart does."""
        self._instance(fault).signal(signal.SIGTERM)

    async def reload(self, fault: Fault) -> None:
        """Make an instance reload its settings file with SIGHUP."""
        instance = self._instance(fault)
        # SIGHUP terminates a process that neither handles nor ignores it, as is the case until the
        # interpreter has run the first line of the program.
        if instance.process and is_signal_handled(instance.process.pid, signal.SIGHUP):
            instance.signal(signal.SIGHUP)

    async def pause(self, fault: Fault) -> None:
        """Suspend an instance with SIGSTOP; resume it after the fault unless it was restarted."""
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

    async def _set_link_faults(self, fault: Fault, failures: LinkFailures) -> None:
        link = self._link(fault)
        if link.target in self._silenced:
            return
        link.set_failures(failures)
        await anyio.sleep(fault.for_s)
        if link.target not in self._silenced:
            link.set_failures(LinkFailures())

    async def reset_link(self, fault: Fault) -> None:
        """Close the present connections of a link; new ones work."""
        link = self._link(fault)
        if link.target in self._silenced:
            return
        link.set_failures(LinkFailures(cut=True))
        link.set_failures(LinkFailures())

    async def refuse_link(self, fault: Fault) -> None:
        """Close all connections of a link and refuse new ones."""
        await self._set_link_faults(fault, LinkFailures(cut=True))

    async def delay_link(self, fault: Fault) -> None:
        """Delay the traffic of a link."""
        await self._set_link_faults(fault, LinkFailures(delay_ms=200, jitter_ms=200))

    async def drop_traffic(self, fault: Fault) -> None:
        """Drop all bytes of a link while its connections stay open."""
        await self._set_link_faults(fault, SILENCE)

    async def drop_responses(self, fault: Fault) -> None:
        """Drop the responses on a link: calls take effect but their callers get no response."""
        await self._set_link_faults(fault, RESPONSES_LOST)

    async def drop_requests(self, fault: Fault) -> None:
        """Drop the requests on a link: calls have no effect and get no response."""
        await self._set_link_faults(fault, LinkFailures(drop=("to_target",)))

    async def silence_workers(self, fault: Fault) -> None:
        """Silence the links of several listed workers until the leases of their runs have ended.

        Other faults of these links have no effect meanwhile.
        """
        links = [handle.link for handle in self._choose_silenced(fault)]
        for link in links:
            link.set_failures(SILENCE)
        await anyio.sleep(OUTLASTING_S + fault.for_s / 2)
        self._end_silence(links)

    def _choose_silenced(self, fault: Fault) -> list[WorkerHandle]:
        workers = self._fleet.workers
        count = min(len(workers), 2 + fault.target % max(1, len(workers) // 2))
        chosen = [workers[(fault.target + n) % len(workers)] for n in range(count)]
        handles = [handle for handle in chosen if handle.link.target not in self._silenced]
        self._silenced |= {handle.link.target for handle in handles}
        return handles

    def _end_silence(self, links: Sequence[RelayState]) -> None:
        self._silenced -= {link.target for link in links}
        restore_links(links)

    async def cut_off_and_shrink(self, fault: Fault) -> None:
        """Cut workers off from the store and the instances; they shrink meanwhile."""
        await self._cut_off(fault)

    async def cut_off_and_restart(self, fault: Fault) -> None:
        """Cut workers off from the store and the instances; they restart with less meanwhile."""
        await self._cut_off(fault, is_restarting=True)

    async def cut_off_with_late_starts(self, fault: Fault) -> None:
        """Cut workers off; the last starts arrive, get no response and are carried out late."""
        await self._cut_off(fault, late_starts=1 + fault.target % LATE_STARTS)

    async def _cut_off(
        self, fault: Fault, *, is_restarting: bool = False, late_starts: int = 0
    ) -> None:
        """Cut workers off until the leases of their runs and their entries have ended.

        Once the cut has ended, the entries that they wrote before it are stored first.
        """
        handles = self._choose_silenced(fault)
        links = [handle.link for handle in handles]
        present = [h for h in handles if not h.draining_s and not h.is_removed]
        for handle in handles:
            handle.link.set_failures(RESPONSES_LOST if late_starts else SILENCE)
            handle.worker.faults.delayed_starts = late_starts
        for handle in present:
            self._fleet.cut_off(handle)
        await anyio.sleep(CHANGE_AFTER_S)
        for handle in present:
            handle.link.set_failures(SILENCE)
            if is_restarting:
                handle.worker.restart()
            _shrink(handle, fault)
        await anyio.sleep(CHANGE_AFTER_S)
        for handle in handles if late_starts else ():
            handle.worker.faults.delayed_starts = 0
            handle.worker.apply_delayed()
        await anyio.sleep(OUTLASTING_S + fault.for_s / 2 - 2 * CHANGE_AFTER_S)
        for handle in present:
            handle.is_cut_off = False
        self._end_silence(links)
        await anyio.sleep(fault.for_s)
        for handle in present:
            handle.resize(WORKER_CAPACITY)

    # Store

    def _set_shared_store_faults(self, faults: StoreFaults) -> None:
        _assign_faults(self._fleet.shared_store_faults, faults)
        for instance in self._fleet.instances:
            _assign_faults(instance.store_faults, faults)

    async def store_down(self, fault: Fault) -> None:
        """Make the store refuse all calls; leases expire meanwhile."""
        self._set_shared_store_faults(StoreFaults(is_down=True))
        await anyio.sleep(fault.for_s)
        self._set_shared_store_faults(StoreFaults())

    async def refuse_store_calls(self, fault: Fault) -> None:
        """Make the store refuse the calls of one instance."""
        faults = self._instance(fault).store_faults
        faults.is_down = True
        await anyio.sleep(fault.for_s)
        faults.is_down = False

    async def lose_store_responses(self, fault: Fault) -> None:
        """Apply the next store writes of an instance without a response."""
        self._instance(fault).store_faults.lost_write_responses = 1 + fault.target % 4

    async def delay_store_writes(self, fault: Fault) -> None:
        """Apply the next store writes of an instance after the fault, without a response."""
        self._instance(fault).store_faults.delayed_writes = 1 + fault.target % 4
        await anyio.sleep(fault.for_s)
        self._fleet.store.apply_delayed()

    async def drop_store_history(self, fault: Fault) -> None:
        """Report no changes to watches for up to 1 s, then drop the history of the store."""
        for instance in self._fleet.instances:
            instance.store_faults.is_watch_stalled = True
        await anyio.sleep(min(fault.for_s, 1.0))
        for instance in self._fleet.instances:
            instance.store_faults.is_watch_stalled = False
        self._fleet.store.drop_history()

    # Workers

    async def restart_worker(self, fault: Fault) -> None:
        """Restart a worker as a new incarnation under the same identifier.

        Its connections break, and the next incarnation begins when no call to the former one can
        arrive any more; starts that do arrive late are a fault of their own.
        """
        handle = self._fleet.workers[fault.target % len(self._fleet.workers)]
        if handle.is_removed:
            return
        handle.worker.restart()
        handle.worker.faults.is_unreachable = True
        self._break_connections(handle)
        await anyio.sleep(RESTART_S)
        await _outlast_calls(handle)
        handle.worker.faults.is_unreachable = False
        if not handle.worker.is_silent and not handle.is_removed:
            self._fleet.publish(handle)

    def _break_connections(self, handle: WorkerHandle) -> None:
        # Instances do not notice it behind a silent link.
        if handle.link.target not in self._silenced:
            for connection in list(handle.link.connections):
                handle.link.cut(connection)

    async def crash_many(self, fault: Fault) -> None:
        """Crash a random share of the workers together, for up to 1 s.

        Every second time their connections break, as when a process ends; otherwise they stay
        open without a response, as after a loss of power. Of the waves of either kind, half change
        the identifiers of workers that are neither draining nor cut off.
        """
        rng = random.Random(fault.target)
        workers = self._fleet.workers
        count = round(rng.uniform(*WAVE_SHARE) * len(workers))
        is_renaming = fault.target // 2 % 2 == 1
        self._fleet.crash_waves_s.append(time.monotonic())
        self._fleet.long_jobs_due += LONG_JOBS
        for handle in rng.sample(workers, count):
            if handle.is_removed:
                continue
            is_renamed = is_renaming and not handle.draining_s and not handle.is_cut_off
            self._fleet.crash(handle, fault.for_s / 4, is_renamed=is_renamed)
            if fault.target % 2:
                self._break_connections(handle)

    async def refuse_commands(self, fault: Fault) -> None:
        """Make a worker refuse start and stop commands."""
        faults = self._fleet.workers[fault.target % len(self._fleet.workers)].worker.faults
        faults.is_unhealthy = faults.is_refusing_stops = True
        await anyio.sleep(fault.for_s)
        faults.is_unhealthy = faults.is_refusing_stops = False

    async def delay_starts(self, fault: Fault) -> None:
        """Execute the next start commands of a worker after the fault, without a response."""
        worker = self._fleet.workers[fault.target % len(self._fleet.workers)].worker
        # A few are repeated until one is answered, more are given up.
        worker.faults.delayed_starts = 1000 if fault.target % 2 else 1 + fault.target % 3
        await anyio.sleep(fault.for_s)
        worker.faults.delayed_starts = 0
        worker.apply_delayed()

    async def lose_start_responses(self, fault: Fault) -> None:
        """Execute the next start commands of a worker without a response."""
        worker = self._fleet.workers[fault.target % len(self._fleet.workers)].worker
        worker.faults.lost_start_responses = 1 + fault.target % 3

    async def stall_runs(self, fault: Fault) -> None:
        """Stall the runs of a worker."""
        faults = self._fleet.workers[fault.target % len(self._fleet.workers)].worker.faults
        faults.is_stalled = True
        await anyio.sleep(fault.for_s)
        faults.is_stalled = False

    async def submit_fatal_job(self, fault: Fault) -> None:
        """Let the first task of the next submitted job crash each worker that starts it."""
        self._fleet.fatal_jobs_due += 1

    async def shrink_worker(self, fault: Fault) -> None:
        """Shrink a worker below the size of many jobs, and let it grow again."""
        handle = self._fleet.workers[fault.target % len(self._fleet.workers)]
        _shrink(handle, fault)
        await anyio.sleep(2 * fault.for_s)
        handle.resize(WORKER_CAPACITY)

    # Other writers

    async def add_foreign_entries(self, fault: Fault) -> None:
        """List two ready workers that nobody answers at, and an entry with an odd value.

        The address of one refuses connections, that of the other accepts them and stays silent.
        """
        with (
            socket.create_server(("127.0.0.1", 0)) as silent,
            socket.socket() as refusing,
        ):
            refusing.bind(("127.0.0.1", 0))
            handles = []
            for number, sock in enumerate((silent, refusing)):
                address = f"127.0.0.1:{sock.getsockname()[1]}"
                worker = MemoryWorker(f"foreign-{fault.target}-{number}", capacity=WORKER_CAPACITY)
                handles.append(WorkerHandle(worker, RelayState(address), address))
            odd_key = f"servers/odd-{fault.target}"
            end_s = time.monotonic() + 2 * fault.for_s
            while time.monotonic() < end_s:
                if not self._fleet.shared_store_faults.is_down:
                    for handle in handles:
                        self._fleet.publish(handle)
                    self._fleet.store.write(odd_key, ODD_ENTRIES[fault.target % len(ODD_ENTRIES)])
                await anyio.sleep(HEARTBEAT_S)
            for key in (odd_key, *(f"servers/{handle.worker.id}" for handle in handles)):
                self._fleet.store.delete(key)

    # Operators

    async def remove_worker(self, fault: Fault) -> None:
        """Drain and remove a worker, and add it again."""
        handle = self._fleet.workers[fault.target % len(self._fleet.workers)]
        await self._operators.drain_and_remove(handle, fault.for_s)

    async def evacuate_zone(self, fault: Fault) -> None:
        """Take a zone out of service."""
        await self._operators.evacuate_zone(ZONES[fault.target % len(ZONES)], 2 * fault.for_s)

    async def revoke_key(self, fault: Fault) -> None:
        """Revoke an API key for longer than a revocation may take to apply."""
        await self._operators.revoke_key(6.0 + fault.for_s)

    async def configuration_burst(self, fault: Fault) -> None:
        """Store many versions of the configuration in quick succession."""
        for _ in range(12):
            self._operators.configure()
            await anyio.sleep(0.05)


async def _outlast_calls(handle: WorkerHandle) -> None:
    """Wait until a call sent now has passed the link, so that none sent before is under way."""
    endpoint = HttpEndpoint(handle.address)
    with suppress(CallError):
        await endpoint.call("GET", "/", timeout_s=MAX_FLIGHT_S)
    endpoint.close()


def _shrink(handle: WorkerHandle, fault: Fault) -> None:
    cores = 1 + fault.target % 3
    handle.resize(replace(WORKER_CAPACITY, cpu_millicores=cores * 1000, accelerators=cores))


def _assign_faults(to: StoreFaults, faults: StoreFaults) -> None:
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
    "drop_traffic",
    "drop_responses",
    "drop_requests",
    "store_down",
    "refuse_store_calls",
    "lose_store_responses",
    "delay_store_writes",
    "drop_store_history",
    "restart_worker",
    "refuse_commands",
    "delay_starts",
    "lose_start_responses",
    "stall_runs",
    "remove_worker",
    "evacuate_zone",
    "revoke_key",
    "configuration_burst",
)
"""Kinds of faults, each a method of `FaultInjector`; their order determines a seed's faults."""

WORKLOAD_FAULT_KINDS = ("submit_fatal_job", "shrink_worker", "shrink_worker")
"""Kinds of faults with a schedule of their own, so that earlier seeds keep their faults."""

WORKLOAD_INTERVAL_S = (0.5, 3.0)
"""Range of the time between the starts of two faults of `WORKLOAD_FAULT_KINDS`."""

LASTING_FAULT_KINDS = ("silence_workers", "silence_workers", "add_foreign_entries")
"""Kinds of longer faults with a schedule of their own, so that earlier seeds keep their faults."""

LASTING_INTERVAL_S = (2.0, 4.0)
"""Range of the time between the starts of two faults of `LASTING_FAULT_KINDS`."""

CUT_KINDS = ("cut_off_and_shrink", "cut_off_and_restart", "cut_off_with_late_starts")
"""Kinds of cuts with a schedule of their own, so that earlier seeds keep their faults."""

CUT_INTERVAL_S = (2.0, 5.0)
"""Range of the time between the starts of two faults of `CUT_KINDS`."""

WAVE_KINDS = ("crash_many",)
"""Kinds of common crashes with a schedule of their own, so that earlier seeds keep their faults."""

WAVE_INTERVAL_S = (1.0, 3.0)
"""Range of the time between two faults of `WAVE_KINDS`."""
