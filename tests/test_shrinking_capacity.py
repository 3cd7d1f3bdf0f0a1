"""Starts on workers whose capacity shrinks, or whose reports of it are out of date."""

from __future__ import annotations

import time
from dataclasses import dataclass

import anyio
import msgspec
import pytest

from controller_harness import LATER, WORKERS, Deployment, Instance, make_deployment, step, until
from foxtailwell.controller import _clocks
from foxtailwell.controller._clocks import ClockReading, more_exact
from foxtailwell.workflows import (
    EndKind,
    FleetView,
    JobState,
    Placement,
    Queue,
    Reservation,
    Resources,
    SchedulingUnit,
    Step,
    TaskId,
    WorkerView,
    plan,
)
from foxtailwell_standins.platform_worker import MemoryWorker

pytestmark = pytest.mark.anyio

WHOLE = Resources(10_000, 10_000, 8)
HALF = Resources(10_000, 10_000, 4)
SHRUNKEN = Resources(128_000, 262_144, 1)
GRACE_S = 2.5


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment of two workers whose reports are soon out of date."""
    deployment = make_deployment(group, 2)
    deployment.heartbeat_s, deployment.capacity_grace_s = 0.3, GRACE_S
    return deployment


@pytest.fixture
async def reporting_fleet(group, fleet) -> Deployment:
    """Return the same deployment with workers that send heartbeats."""
    group.start_soon(fleet.send_heartbeats)
    return fleet


def run_count(deployment: Deployment) -> int:
    """Return the number of runs that have started."""
    return sum(len(worker.log) for worker in deployment.workers.values())


def shrink(deployment: Deployment, *workers: str) -> None:
    """Shrink workers, and let those report it at once that send heartbeats."""
    for name in workers:
        deployment.workers[name].capacity = SHRUNKEN
        if name not in deployment.withdrawn:
            deployment.publish(deployment.workers[name])


async def test_task_does_not_start_on_a_worker_that_has_just_shrunk(reporting_fleet):
    """Guards against a start that is checked against a remembered capacity."""
    reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(1)])
    assert await until(lambda: run_count(reporting_fleet) == 1)
    shrink(reporting_fleet, "w0", "w1")
    await anyio.sleep(0.2)
    await reporting_fleet.submit(2, LATER, [step(request=HALF)])
    await anyio.sleep(0.3)
    assert run_count(reporting_fleet) == 1


async def test_worker_without_current_report_gets_no_start(reporting_fleet):
    """Guards against starts that rely on a report from before the worker fell silent."""
    reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(2)])
    assert await until(lambda: run_count(reporting_fleet) == 2)
    reporting_fleet.withdrawn |= {"w0", "w1"}
    await anyio.sleep(GRACE_S)
    job = await reporting_fleet.submit(2, LATER, [step(1)])
    await anyio.sleep(0.4)
    assert run_count(reporting_fleet) == 2
    assert f"foxtailwell/run/{job}" not in reporting_fleet.store.items
    reporting_fleet.withdrawn.clear()
    assert await until(lambda: run_count(reporting_fleet) == 3)


async def test_workers_get_starts_although_no_grace_follows_a_shrink(reporting_fleet):
    """Guards against a deployment in which every report is out of date when it arrives."""
    reporting_fleet.capacity_grace_s = reporting_fleet.heartbeat_s
    reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(2)])
    assert await until(lambda: run_count(reporting_fleet) == 2)


async def test_start_that_was_stored_late_is_not_sent(reporting_fleet):
    """Guards against starts that were planned before a store outage and are sent after it."""
    instance = reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(2)])
    assert await until(lambda: run_count(reporting_fleet) == 2)
    instance.faults.delayed_writes = 12
    await reporting_fleet.submit(2, LATER, [step(2, request=HALF, is_gang=True)])
    assert await until(lambda: instance.faults.delayed_writes < 12)
    shrink(reporting_fleet, "w0", "w1")
    assert await until(lambda: not instance.faults.delayed_writes)
    await anyio.sleep(0.3)
    assert run_count(reporting_fleet) == 2


@pytest.mark.parametrize("is_stop_lost", [False, True])
async def test_late_start_on_a_restarted_worker_does_not_exceed_its_capacity(group, is_stop_lost):
    """Guards against room that a start without response may still take after a restart.

    The next incarnation rejects the start if it gets the stop of the run, otherwise it has room.
    """
    deployment = make_deployment(group, 1)
    group.start_soon(deployment.send_heartbeats)
    worker = deployment.workers["w0"]
    worker.faults.delayed_starts = 1000
    deployment.start("one")
    first = await deployment.submit(1, LATER, [step(request=WHOLE)])
    assert await until(lambda: worker.faults.delayed_starts < 998)
    await deployment.cancel(first)
    # The stop is confirmed before the crash, so that the next incarnation does not know of it.
    assert await until(lambda: f"foxtailwell/in/job/{first}" not in deployment.store.items)
    worker.faults.is_losing_stops = is_stop_lost
    worker.crash()
    worker.faults.delayed_starts = 0
    assert await until(lambda: worker.token > 0)
    second = await deployment.submit(2, LATER, [step(request=WHOLE)])
    await until(lambda: bool(deployment.runs(f"{second}.0.0.0")), 2.0)
    worker.apply_delayed()
    assert list(worker.running) == [f"{first if is_stop_lost else second}.0.0.0"]


async def test_late_starts_of_ended_runs_fit_into_the_next_incarnation_together(group):
    """Guards against room that is used again while first attempts at its runs may yet arrive."""
    deployment = make_deployment(group, 1)
    group.start_soon(deployment.send_heartbeats)
    worker = deployment.workers["w0"]
    deployment.start("one")
    half_worker = Resources(10_000, 10_000, 4)
    for number in range(1, 4):
        worker.faults.delayed_starts = 1
        job = await deployment.submit(number, LATER, [step(request=half_worker)])
        if await until(lambda job=job: bool(deployment.runs(f"{job}.0.0.0")), 1.5):
            worker.end(f"{job}.0.0.0", EndKind.DONE)
            assert await deployment.reaches(job, JobState.COMPLETED)
    worker.restart()
    worker.apply_delayed()
    assert len(worker.running) == 2


@pytest.mark.parametrize("boot_step", [1, -1])
async def test_start_does_not_rely_on_the_report_of_an_earlier_incarnation(group, boot_step):
    """Guards against starts that a restarted worker has no room for, and clocks that are set back.

    The next incarnation may start at an earlier time of day.
    """
    deployment = make_deployment(group, 1)
    deployment.capacity_grace_s = GRACE_S
    group.start_soon(deployment.send_heartbeats)
    deployment.start("one")
    _, task = await deployment.start_one_task()
    await anyio.sleep(1.2)
    worker = deployment.workers["w0"]
    deployment.withdrawn.add("w0")
    worker.restart()
    worker.boot_unix_ms += boot_step - 1
    worker.capacity = SHRUNKEN
    await anyio.sleep(1.5)
    assert run_count(deployment) == 1
    deployment.withdrawn.clear()
    assert await until(lambda: len(deployment.runs(task)) == 2)


async def test_gang_waits_as_a_whole_while_one_worker_has_shrunk(reporting_fleet):
    """Guards against members that start while there is no room for the others."""
    shrink(reporting_fleet, "w0")
    reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(2, request=WHOLE, is_gang=True)])
    await anyio.sleep(0.5)
    assert run_count(reporting_fleet) == 0
    reporting_fleet.workers["w0"].capacity = reporting_fleet.workers["w1"].capacity
    assert await until(lambda: run_count(reporting_fleet) == 2)


async def test_runs_continue_on_a_worker_that_has_shrunk(reporting_fleet):
    """Guards against work that is thrown away because its worker has less room for more."""
    reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(16)])
    assert await until(lambda: run_count(reporting_fleet) == 16)
    shrink(reporting_fleet, "w0", "w1")
    await anyio.sleep(0.5)
    assert sum(len(worker.running) for worker in reporting_fleet.workers.values()) == 16


async def test_new_controller_does_not_rely_on_reports_from_before_an_outage(fleet):
    """Guards against starts on entries that no worker could update while the store was away."""
    await anyio.sleep(GRACE_S)
    fleet.start("one")
    await fleet.submit(1, LATER, [step()])
    await anyio.sleep(0.5)
    assert run_count(fleet) == 0
    fleet.publish(fleet.workers["w0"])
    assert await until(lambda: run_count(fleet) == 1)


async def test_new_controller_does_not_rely_on_the_last_report_of_a_silent_worker(reporting_fleet):
    """Guards against a start on a worker that has shrunk and whose entry has yet to expire."""
    reporting_fleet.heartbeat_s, reporting_fleet.capacity_grace_s = 0.8, 2.4
    first = reporting_fleet.start("one")
    await reporting_fleet.submit(1, LATER, [step(1)])
    assert await until(lambda: run_count(reporting_fleet) == 1)
    reporting_fleet.workers["w1"].capacity = SHRUNKEN
    reporting_fleet.withdrawn.add("w0")
    shrink(reporting_fleet, "w0")
    first.kill()
    # The store keeps the entry of a silent worker for three heartbeats.
    await anyio.sleep(2.2)
    second = reporting_fleet.start("two")
    assert await until(lambda: second.leadership.is_controller)
    await anyio.sleep(0.3)
    await reporting_fleet.submit(2, LATER, [step(request=HALF)])
    await anyio.sleep(1.0)
    assert run_count(reporting_fleet) == 1


@dataclass
class CutOff:
    """A worker that is cut off from the store, shrinks meanwhile, and what it wrote before."""

    fleet: Deployment
    controller: Instance
    worker: MemoryWorker
    written: list[bytes]

    def deliver(self, count: int = 1) -> None:
        """Deliver what the worker wrote before it shrank, as the end of the cut does."""
        for value in self.written[:count]:
            self.fleet.store.write(WORKERS + self.worker.id, value)

    async def replace_controller(self) -> None:
        """Let another instance become the controller."""
        self.controller.kill()
        successor = self.fleet.start("two")
        assert await until(lambda: successor.leadership.is_controller)

    def reconnect(self) -> None:
        """Let the worker write its present entry."""
        self.fleet.publish(self.worker)


@pytest.fixture
async def cut_off(group) -> CutOff:
    """Return a worker that fell silent and shrank after the controller had read its clock."""
    fleet = make_deployment(group, 1)
    fleet.heartbeat_s, fleet.capacity_grace_s = 0.3, GRACE_S
    controller = fleet.start("one")
    group.start_soon(fleet.send_heartbeats)
    await fleet.submit(1, LATER, [step()])
    assert await until(lambda: run_count(fleet) == 1)
    fleet.withdrawn.add("w0")
    worker = fleet.workers["w0"]
    written = []
    for _ in range(3):
        written.append(msgspec.json.encode(worker.entry()))
        await anyio.sleep(0.1)
    fleet.store.delete(WORKERS + "w0")
    shrink(fleet, "w0")
    await anyio.sleep(GRACE_S)
    return CutOff(fleet, controller, worker, written)


async def deliver_one(cut: CutOff) -> None:
    cut.deliver()


async def deliver_several(cut: CutOff) -> None:
    for _ in range(4):
        cut.deliver(3)
        await anyio.sleep(0.1)


async def deliver_after_restart(cut: CutOff) -> None:
    cut.worker.restart()
    await anyio.sleep(0.3)
    cut.deliver()


async def deliver_before_restart(cut: CutOff) -> None:
    cut.deliver()
    await anyio.sleep(0.1)
    cut.worker.restart()


async def deliver_after_takeover(cut: CutOff) -> None:
    await cut.replace_controller()
    cut.deliver()


async def deliver_before_takeover(cut: CutOff) -> None:
    cut.deliver()
    await cut.replace_controller()


@pytest.mark.parametrize(
    "deliver",
    [
        deliver_one,
        deliver_several,
        deliver_after_restart,
        deliver_before_restart,
        deliver_after_takeover,
        deliver_before_takeover,
    ],
)
async def test_start_does_not_rely_on_a_report_that_is_delivered_late(cut_off, deliver):
    """Guards against a start that is checked against what a worker wrote before it shrank."""
    await deliver(cut_off)
    await cut_off.fleet.submit(2, LATER, [step(request=HALF)])
    await anyio.sleep(1.0)
    assert run_count(cut_off.fleet) == 1
    cut_off.worker.capacity = Resources(128_000, 262_144, 8)
    cut_off.reconnect()
    assert await until(lambda: run_count(cut_off.fleet) >= 2)


async def test_worker_that_is_back_gets_starts_within_two_heartbeats(cut_off):
    """Guards against a worker that stays idle because its late reports count against newer ones."""
    cut_off.deliver(3)
    cut_off.worker.capacity = Resources(128_000, 262_144, 8)
    cut_off.fleet.withdrawn.clear()
    await cut_off.fleet.submit(2, LATER, [step(request=HALF)])
    assert await until(lambda: run_count(cut_off.fleet) == 2, 2 * cut_off.fleet.heartbeat_s)


async def test_idle_worker_with_a_slow_clock_stays_usable(group, monkeypatch):
    """Guards against reports that look ever older because the clock was last read long ago."""
    monkeypatch.setattr(_clocks, "CLOCK_DRIFT_FACTOR", 1.3)
    fleet = make_deployment(group, 1, now_s=lambda: time.monotonic() * 0.8)
    fleet.heartbeat_s, fleet.capacity_grace_s = 0.3, GRACE_S
    fleet.start("one")
    group.start_soon(fleet.send_heartbeats)
    await anyio.sleep(2 * GRACE_S)
    await fleet.submit(1, LATER, [step()])
    assert await until(lambda: run_count(fleet) == 1, fleet.heartbeat_s)


@pytest.mark.parametrize("rate", [1.0, 0.98])
@pytest.mark.parametrize("shown_s", [-10.0, 0.0, 10.0])
@pytest.mark.parametrize("response_s", [0.0, 1.5])
def test_report_is_never_dated_later_than_it_was_written(rate, shown_s, response_s):
    """Guards against a slow clock, or a response held back, that make a report look newer."""
    read_s, clock_ms = 100.0, 50_000
    reading = ClockReading(1, clock_ms, read_s - response_s, read_s)
    written_s = read_s + shown_s / rate
    dated_ms = clock_ms + int(shown_s * 1000)
    assert reading.earliest_s(dated_ms) <= written_s <= reading.latest_s(dated_ms)
    assert reading.earliest_s(dated_ms) >= written_s - response_s - 0.03 * abs(shown_s)


@pytest.mark.parametrize(
    ("boot", "clock_ms", "sent_s", "is_taken"),
    [
        pytest.param(1, 2_000, 101.0, True, id="as exact"),
        pytest.param(1, 2_000, 100.5, False, id="held back"),
        pytest.param(1, 2_000, 101.2, True, id="slow clock"),
        pytest.param(2, 0, 100.5, True, id="other incarnation"),
        pytest.param(2, 2_000, 100.5, True, id="other incarnation, held back"),
        pytest.param(1, -1_000_000, 101.0, True, id="contradiction"),
    ],
)
def test_reading_is_replaced_by_one_that_is_at_least_as_exact(boot, clock_ms, sent_s, is_taken):
    """Guards against reports that look old because a busy worker holds its responses back."""
    known = ClockReading(1, 1_000, 100.0, 100.0)
    reading = ClockReading(boot, clock_ms, sent_s, sent_s + 1.5)
    assert more_exact(known, reading) is (reading if is_taken else known)


def test_reservation_ends_when_its_worker_shrinks():
    """Guards against a unit that waits for room which its worker no longer has."""
    queue = Queue("urgent", "pool", priority=0)
    task = TaskId("u", 0, 0, 0)
    unit = SchedulingUnit("u", 0, 0, Step(1, WHOLE, 1000), queue, "acme", (task,), 0.0, 9.0)
    shrunken = WorkerView("w0", "pool", "a", "r1", frozenset(), SHRUNKEN)
    other = WorkerView("w1", "pool", "a", "r1", frozenset(), WHOLE)
    reservation = Reservation(Placement(unit, {task: "w0"}), until_s=5.0)
    decided = plan(FleetView(1.0, {"w0": shrunken, "w1": other}, [unit], (reservation,)))
    assert decided.placements[0].workers == {task: "w1"}
