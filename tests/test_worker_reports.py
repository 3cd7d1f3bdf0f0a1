"""How reports of workers are dated by the clocks of the workers, and what follows from it."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, replace

import anyio
import msgspec
import pytest

from controller_harness import LATER, WORKERS, Deployment, Instance, make_deployment, step, until
from foxtailwell.controller._links import WorkerLink
from foxtailwell.workflows import Resources, WorkerCallError, WorkerEntry
from foxtailwell_standins.platform_worker import MemoryWorker

pytestmark = pytest.mark.anyio

HALF = Resources(10_000, 10_000, 4)
SHRUNKEN = Resources(128_000, 262_144, 1)
HEARTBEAT_S = 0.8
TTL_S = 3 * HEARTBEAT_S


@dataclass(slots=True)
class CountingWorker(MemoryWorker):
    """A worker that counts the listings it is asked for."""

    listings: int = 0

    async def renew_lease(self, *arguments):
        """Count the listing and return it."""
        self.listings += 1
        return await MemoryWorker.renew_lease(self, *arguments)


def encode(entry: WorkerEntry, **changes) -> bytes:
    """Return an entry as the store holds it."""
    return msgspec.json.encode(replace(entry, **changes))


def run_count(deployment: Deployment) -> int:
    """Return the number of runs that have started."""
    return sum(len(worker.log) for worker in deployment.workers.values())


async def no_change(_: Deployment, __: Instance) -> None:
    await anyio.sleep(0.75 * TTL_S)


async def take_over(fleet: Deployment, first: Instance) -> None:
    first.kill()
    second = fleet.start("two")
    assert await until(lambda: second.leadership.is_controller)
    await anyio.sleep(0.2)


async def list_again(fleet: Deployment, _: Instance) -> None:
    await anyio.sleep(0.75 * TTL_S)
    fleet.store.drop_history()
    await anyio.sleep(0.3)


async def delay_watches(fleet: Deployment, first: Instance) -> None:
    first.faults.is_watch_stalled = False
    await anyio.sleep(0.5)


@pytest.mark.parametrize("change", [no_change, take_over, list_again, delay_watches])
async def test_expired_entry_of_a_draining_worker_is_no_proof_that_it_has_left(group, change):
    """Guards against a second run while a draining worker that is cut off still has the first.

    Its last report is three heartbeats old when its entry expires, however recently this
    controller has read the entry.
    """
    fleet = make_deployment(group, 2)
    fleet.heartbeat_s = HEARTBEAT_S
    group.start_soon(fleet.send_heartbeats)
    first = fleet.start("one")
    _, task = await fleet.start_one_task()
    holder = fleet.holder_of(task)
    fleet.withdrawn.add(holder.id)
    first.faults.is_watch_stalled = change is delay_watches
    await anyio.sleep(0.7)
    fleet.publish(holder, is_ready=False, remaining_ms=60_000)
    said_s = anyio.current_time()
    await anyio.sleep(0.3 + first.faults.is_watch_stalled * 0.7)
    holder.faults.is_unreachable = True
    await change(fleet, first)
    await anyio.sleep(max(0.0, said_s + TTL_S - anyio.current_time()))
    fleet.store.delete(WORKERS + holder.id)
    await anyio.sleep(0.7)
    assert task in holder.running
    assert len(fleet.runs(task)) == 1


async def test_older_report_that_arrives_after_a_newer_one_does_not_replace_it(group):
    """Guards against starts on a draining worker whose earlier report arrives out of order."""
    fleet = make_deployment(group, 1)
    fleet.capacity_grace_s = 4.5
    fleet.start("one")
    await fleet.start_one_task()
    worker = fleet.workers["w0"]
    earlier = encode(worker.entry())
    await anyio.sleep(0.1)
    fleet.publish(worker, is_ready=False, remaining_ms=60_000)
    await anyio.sleep(0.5)
    fleet.store.write(WORKERS + "w0", earlier)
    await anyio.sleep(0.5)
    await fleet.submit(2, LATER, [step()])
    await anyio.sleep(0.6)
    assert run_count(fleet) == 1


async def test_report_that_seems_to_be_of_the_future_allows_no_start(group):
    """Guards against a start on a report from before a restart with the same start time.

    No worker can have written an entry after it appeared, so the reading is of another life.
    """
    fleet = make_deployment(group, 1)
    fleet.heartbeat_s, fleet.capacity_grace_s = 0.3, 2.5
    worker = fleet.workers["w0"]
    worker._boot_s -= 60.0
    fleet.start("one")
    group.start_soon(fleet.send_heartbeats)
    await fleet.start_one_task()
    await anyio.sleep(1.0)
    fleet.withdrawn.add("w0")
    late = encode(worker.entry())
    worker.restart()
    worker.boot_unix_ms -= 1
    worker.capacity = SHRUNKEN
    fleet.store.delete(WORKERS + "w0")
    await anyio.sleep(2.6)
    before = run_count(fleet)
    fleet.store.write(WORKERS + "w0", late)
    await anyio.sleep(0.5)
    fleet.store.write(WORKERS + "w0", late)
    await fleet.submit(2, LATER, [step(request=HALF)])
    await anyio.sleep(1.0)
    assert run_count(fleet) == before


async def test_late_notice_of_an_earlier_incarnation_does_not_stop_the_runs_of_the_next(group):
    """Guards against work thrown away because of the end of an incarnation that is gone."""
    fleet = make_deployment(group, 1)
    fleet.heartbeat_s, fleet.capacity_grace_s = 0.3, 2.5
    fleet.start("one")
    group.start_soon(fleet.send_heartbeats)
    worker = fleet.workers["w0"]
    assert await until(lambda: worker.token > 0)
    late = encode(worker.entry(is_ready=False), remaining_ms=300)
    worker.restart()
    await fleet.submit(1, LATER, [step(estimate_ms=60_000)])
    assert await until(lambda: run_count(fleet) == 1)
    await anyio.sleep(0.5)
    fleet.withdrawn.add("w0")
    fleet.store.write(WORKERS + "w0", late)
    await anyio.sleep(1.0)
    assert len(worker.running) == 1


async def test_reading_requested_during_another_one_is_taken(group):
    """Guards against an entry left undated because a response of the life before it came later."""
    fleet = make_deployment(group, 1)
    fleet.capacity_grace_s = 4.5
    worker = fleet.workers["w0"]
    worker.faults.listing_delay_s = 0.4
    fleet.start("one")
    assert await until(lambda: worker.token > 0)
    worker.restart()
    worker.faults.listing_delay_s = 0.0
    fleet.publish(worker)
    await fleet.submit(1, LATER, [step()])
    assert await until(lambda: run_count(fleet) == 1, 1.2)


async def deliver_with_delay(fleet: Deployment, worker: MemoryWorker) -> None:
    for _ in range(20):
        value = encode(worker.entry())
        await anyio.sleep(0.2)
        fleet.store.write(WORKERS + "w0", value)


async def list_repeatedly(fleet: Deployment, __: MemoryWorker) -> None:
    for _ in range(8):
        await anyio.sleep(0.4)
        fleet.publish(fleet.workers["w1"])
        fleet.store.drop_history()


@pytest.mark.parametrize("deliver", [deliver_with_delay, list_repeatedly])
async def test_recent_reading_is_not_repeated(group, deliver):
    """Guards against calls that tell nothing new, while the store is slow or drops its history.

    A clock 2 % slow differs by 0.1 s after 5 s; an entry that a recent reading shows to be old is
    old, and a second reading dates it no better.
    """
    fleet = make_deployment(group, 2)
    fleet.heartbeat_s = 0.4
    worker = fleet.workers["w0"] = CountingWorker("w0")
    fleet.publish(worker)
    fleet.start("one")
    assert await until(lambda: worker.listings > 0)
    await deliver(fleet, worker)
    assert worker.listings <= 3


@dataclass(slots=True)
class FailingOnceWorker(MemoryWorker):
    """A worker that leaves as many listings without a response as `failures` says."""

    failures: int = 0

    async def renew_lease(self, *arguments):
        """Fail, or return the listing."""
        if self.failures:
            self.failures -= 1
            raise WorkerCallError("no response")
        return await MemoryWorker.renew_lease(self, *arguments)


@pytest.mark.parametrize("failures", [0, 1])
async def test_failed_reading_of_an_idle_worker_excuses_no_crash(group, failures):
    """Guards against a single lost call, repeated after a second, that counts as a silence."""
    fleet = make_deployment(group, 1)
    idle = fleet.workers["w1"] = FailingOnceWorker("w1", capacity=Resources(1, 1, 0))
    fleet.publish(idle)
    fatal = fleet.workers["w0"]
    fatal.faults.fatal_tasks = frozenset({f"{1:016x}.0.0.0"})
    fatal.faults.crash_s = 1.6
    fleet.start("one")
    assert await until(lambda: idle.token > 0 and fatal.token > 0)
    fleet.publish(fatal)
    await anyio.sleep(0.3)
    late = encode(idle.entry())
    await anyio.sleep(0.7)
    job = await fleet.submit(1, LATER, [step()])
    assert await until(lambda: run_count(fleet) == 1)
    idle.failures = failures
    fleet.store.write(WORKERS + "w1", late)

    def evidence() -> list[list[object]]:
        return msgspec.json.decode(fleet.store.items[f"foxtailwell/run/{job}"].value)["crashes"]

    assert await until(lambda: bool(evidence()))
    assert [crash[1] for crash in evidence()[0][3]] == [2]


async def test_reading_counts_from_the_request_for_it(group):
    """Guards against a slow response that makes every report look newer than it is."""
    worker = MemoryWorker("w0")
    worker.faults.listing_delay_s = 0.3
    send, _receive = anyio.create_memory_object_stream(math.inf)
    link = WorkerLink(
        entry=worker.entry(),
        calls=worker,
        token=1,
        lease_ms=4000,
        now_s=time.monotonic,
        may_act=lambda: True,
        on_fenced=lambda _: None,
        events=send,
        leases_expire_s=0.0,
        is_listed=True,
    )
    written_s, clock_ms = time.monotonic(), worker.clock_ms()
    link.request_reading()
    group.start_soon(link.run)
    assert await until(lambda: link.reading is not None)
    assert written_s - 0.1 < link.reading.earliest_s(clock_ms) <= written_s + 0.002


async def test_clock_of_an_idle_worker_is_read_once(group):
    """Guards against a worker that is called without end although its entry is dated."""
    fleet = make_deployment(group, 1)
    worker = fleet.workers["w0"] = CountingWorker("w0")
    fleet.publish(worker)
    fleet.start("one")
    assert await until(lambda: worker.listings > 0)
    await anyio.sleep(1.0)
    assert worker.listings == 1


async def test_time_left_counts_from_the_writing_of_the_notice(group):
    """Guards against a run that is cut off because the notice of the end arrived late."""
    fleet = make_deployment(group, 1)
    fleet.start("one")
    worker = fleet.workers["w0"]
    await fleet.submit(1, LATER, [step(is_checkpointing=True, estimate_ms=60_000)])
    assert await until(lambda: len(worker.running) == 1)
    notice = msgspec.json.encode(replace(worker.entry(is_ready=False), remaining_ms=3000))
    await anyio.sleep(2.5)
    fleet.store.write(WORKERS + "w0", notice)
    assert await until(lambda: not worker.running, 1.0)


async def test_new_controller_leaves_the_runs_of_a_draining_worker_their_time(group):
    """Guards against runs that are stopped before the clock of their worker is read."""
    fleet = make_deployment(group, 1)
    first = fleet.start("one")
    worker = fleet.workers["w0"]
    await fleet.submit(1, LATER, [step(is_checkpointing=True, estimate_ms=60_000)])
    assert await until(lambda: len(worker.running) == 1)
    fleet.publish(worker, is_ready=False, remaining_ms=60_000)
    await anyio.sleep(0.5)
    first.kill()
    second = fleet.start("two")
    assert await until(lambda: second.leadership.is_controller)
    await anyio.sleep(0.5)
    assert len(worker.running) == 1
    assert not worker.ended
