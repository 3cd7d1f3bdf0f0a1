"""Holds of workers and jobs that end by themselves, on both control paths."""

from __future__ import annotations

import math
import random
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from foxtailwell.controller import FleetAccess
from foxtailwell.controller._clocks import ClockReading
from foxtailwell.controller._links import StartFinished, WorkerLink
from foxtailwell.controller._watch import ChangeBatch
from foxtailwell.controller._workers import (
    LATE_START_S,
    QUARANTINE_MS,
    REFUSAL_BACKOFF_S,
    Workers,
)
from foxtailwell.core import Configuration, InstanceRecord, MinionHealth, ZoneAllocation
from foxtailwell.core._routing import LEAVING_TTL_S
from foxtailwell.entry._minion_pool import MinionPool
from foxtailwell.scheduler import _zone
from foxtailwell.workflows import Change, JobRegistry, Obstacle, Resources, TaskId, WorkerEntry
from foxtailwell_standins.platform_worker import MemoryWorker

START_S = 100.0
HALF = Resources(64_000, 131_072, 4)


@pytest.fixture
def clock():
    """Return a clock that tests set."""
    return SimpleNamespace(now_s=START_S)


@pytest.fixture
def workers(clock):
    """Return the controller's view of one listed and idle worker, whose clock is known."""
    worker = MemoryWorker("w0")
    send, _ = anyio.create_memory_object_stream(math.inf)
    access = FleetAccess(
        "servers/",
        lambda _, value: msgspec.json.decode(value, type=WorkerEntry),
        lambda *_: worker,
    )
    view = Workers(access, JobRegistry(), lambda *_: None, lambda: clock.now_s)
    view.links["w0"] = WorkerLink(
        entry=worker.entry(),
        calls=worker,
        token=1,
        lease_ms=4000,
        now_s=lambda: clock.now_s,
        may_act=lambda: True,
        on_fenced=lambda _: None,
        events=send,
        leases_expire_s=0.0,
        boot_unix_ms=1,
        reading=ClockReading(1, 0, START_S, START_S),
    )
    change = Change("servers/w0", msgspec.json.encode(worker.entry()), 1)
    view.apply_entries(ChangeBatch((change,), is_snapshot=True))
    return view


def _fail_two_jobs(workers):
    workers.record_failure("w0", "one")
    workers.record_failure("w0", "two")


def _leave_a_start_unanswered(workers):
    task = TaskId("one", 0, 0, 0)
    workers.record_unanswered_start(
        StartFinished("w0", task, 1, HALF, 0, START_S, None, is_certain=False)
    )


@pytest.mark.parametrize(
    ("hold", "limit_s", "obstacle", "capacity"),
    [
        (lambda w: w.back_off("w0"), REFUSAL_BACKOFF_S, Obstacle.BACKING_OFF, 2),
        (_fail_two_jobs, QUARANTINE_MS / 1000, Obstacle.QUARANTINED, 2),
        (_leave_a_start_unanswered, LATE_START_S, None, 1),
    ],
    ids=["back-off", "quarantine", "unanswered start of an earlier incarnation"],
)
def test_hold_of_a_worker_ends_without_an_event(workers, clock, hold, limit_s, obstacle, capacity):
    """Guards against a worker that stays empty because nothing happens that would release it."""

    def view():
        found = workers.views(frozenset(), frozenset(), clock.now_s, frozenset())["w0"]
        return found.obstacle, HALF.max_copies(found.capacity)

    assert view() == (None, 2)
    hold(workers)
    clock.now_s = START_S + limit_s - 0.01
    assert view() == (obstacle, capacity)
    clock.now_s = START_S + limit_s + 0.01
    assert view() == (None, 2)


@pytest.mark.parametrize(("past_ms", "is_lifted"), [(-1, False), (1, True)])
def test_quarantine_of_a_zone_ends_without_a_probe(monkeypatch, past_ms, is_lifted):
    """Guards against a worker that stays in quarantine because no waiting job can probe it."""
    lifted = []
    monkeypatch.setattr(_zone, "_start_write", lambda _, write, *arguments: lifted.append(write))
    monkeypatch.setattr(_zone, "now_unix_ms", lambda: 301_000 + past_ms)
    allocation = ZoneAllocation(zone="a", quarantined={"w0": 1000})
    state = SimpleNamespace(allocations={"a": allocation})
    _zone._lift_unprobed_quarantines(SimpleNamespace(state=state, zone="a"))
    assert lifted == ([_zone._lift_quarantine] if is_lifted else [])


def test_back_off_of_a_job_stays_short_however_often_its_start_fails(monkeypatch, clock):
    """Guards against a job that hardly ever starts any more after many failed starts."""
    monkeypatch.setattr(_zone.time, "monotonic", lambda: clock.now_s)
    executor = SimpleNamespace(backoffs={})
    for _ in range(2000):
        _zone._back_off_start(executor, "one")
    until_s = executor.backoffs["one"].until_s
    assert START_S < until_s <= START_S + 5.0


def test_minion_that_refused_as_leaving_is_used_again(clock):
    """Guards against a minion that gets no requests any more although it has stayed."""
    record = InstanceRecord("m0", "minion", "a", "127.0.0.1:9", slots=4, connections=4)
    view = SimpleNamespace(instances={"m0": record}, configuration=Configuration())
    pool = MinionPool(view, "e0", "a", lambda: clock.now_s, random.Random(1))
    pool.refresh()

    def pick():
        pool.update_limits()
        return pool.pick(is_idempotent=False, avoid=frozenset(), avoid_zone="")

    pool.on_refusal(pick(), "leaving", 0)
    assert pool._minions["m0"].health == MinionHealth(leaving_until_s=START_S + LEAVING_TTL_S)
    clock.now_s = START_S + LEAVING_TTL_S - 0.01
    assert pick() is None
    clock.now_s = START_S + LEAVING_TTL_S
    assert pick() is not None
