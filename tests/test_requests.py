"""Requests through real entries and minions, with their failures."""

from __future__ import annotations

import time
from dataclasses import replace

import anyio
import pytest

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS
from foxtailwell.adapters.peers import Load
from foxtailwell.core import InstanceRecord, ZoneOut
from foxtailwell.fleet import PeerState
from foxtailwell_standins.store import StoreFailures, make_store_app
from request_fleet import (
    CONFIGURATION,
    Fleet,
    entry_process,
    make_settings,
    open_caller,
    outcome,
    send,
    wait_until,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
async def fleet(store_state, serving):
    """A store and an empty fleet."""
    async with serving(make_store_app(store_state)) as url, anyio.create_task_group() as group:
        yield Fleet(group, url)
        group.cancel_scope.cancel()


async def test_request_through_an_entry_process(fleet, tmp_path):
    """Guards against a daemon that only works inside the test process."""
    await fleet.add_minion("m1")
    settings = make_settings("e1", fleet.store_url)
    async with (
        entry_process(tmp_path, settings, list(fleet.records.values())) as (_, ports),
        open_caller(ports.callers) as http,
    ):
        reply = await send(http, body=b"level?")
        assert (reply.status, reply.body, outcome(reply)) == (200, b"level?", "answer")
        assert (await http.request("GET", "/readyz")).status == 200


async def test_answers_reach_their_own_callers(fleet):
    """Guards against a response that is given to another caller (I4)."""
    for name in ("m1", "m2", "m3"):
        await fleet.add_minion(name, run_ms=2)
    ports = await fleet.add_entry("e1")
    seen: dict[int, bytes] = {}
    async with open_caller(ports.callers) as http, anyio.create_task_group() as group:

        async def one(number: int) -> None:
            seen[number] = (await send(http, body=b"%d" % number)).body

        for number in range(60):
            group.start_soon(one, number)
    assert seen == {number: b"%d" % number for number in range(60)}


@pytest.mark.parametrize("mode", ["crossed", "short", "error", "cut_before", "cut_during"])
async def test_bad_response_is_never_forwarded(fleet, mode):
    """Guards against a mismatched or truncated response reaching a caller (I4)."""
    bad = await fleet.add_minion("m1", mode=mode)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        alone = await send(http, "survey", b"roof", key="k1")
        assert outcome(alone) == ("answer" if mode == "error" else "outcome_unknown")
        assert alone.status >= 500
        await fleet.add_minion("m2")
        replies = [await send(http, body=b"%d" % n) for n in range(20)]
    assert [r.body for r in replies] == [b"%d" % n for n in range(20)]
    assert bad.open_connections <= 1


async def test_unasked_response_is_not_used_for_the_next_request(fleet):
    """Guards against a connection that is used again with unread bytes on it (I4)."""
    await fleet.add_minion("m1", mode="extra")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        replies = [await send(http, body=b"%d" % n) for n in range(10)]
    assert all(r.body == b"%d" % n or outcome(r) != "answer" for n, r in enumerate(replies))


async def test_late_response_is_outcome_unknown_and_not_given_to_the_next(fleet):
    """Guards against a late response that answers the following request (I4, I6)."""
    minion = await fleet.add_minion("m1", mode="late", count=1, late_ms=400)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        late = await send(http, "survey", b"one", key="k1", deadline_ms=100)
        following = await send(http, "survey", b"two", key="k2")
        again = await send(http, "survey", b"one", key="k1")
    assert (late.status, outcome(late)) == (504, "outcome_unknown")
    assert following.body == b"two"
    assert outcome(again) == "outcome_unknown"
    assert [k for _, k, _ in minion.executed] == ["k1", "k2"]


async def test_unreachable_minion_is_not_run_and_the_claim_is_released(fleet):
    """Guards against a refusal that is not true, and a claim nobody can use again (I5)."""
    ports = await fleet.add_entry("e1")
    state = await fleet.add_minion("m1")
    address = fleet.records["m1"].address
    fleet.records["m1"] = replace(fleet.records["m1"], address="127.0.0.1:9")
    fleet.publish()
    async with open_caller(ports.callers) as http:
        refused = await send(http, "survey", b"roof", key="k1")
        fleet.records["m1"] = replace(fleet.records["m1"], address=address)
        fleet.publish()
        await anyio.wait_all_tasks_blocked()
        answered = await send(http, "survey", b"roof", key="k1")
    assert (refused.status, outcome(refused)) == (503, "not_run")
    assert answered.body == b"roof"
    assert len(state.executed) == 1


async def test_two_copies_through_two_entries_run_once(fleet):
    """Guards against a duplicate that runs because it came through another entry (I6)."""
    await fleet.add_minion("m1", run_ms=100)
    await fleet.add_minion("m2", run_ms=100)
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    replies = []
    async with (
        open_caller(first.callers) as one,
        open_caller(second.callers) as two,
        anyio.create_task_group() as group,
    ):

        async def copy(http) -> None:
            replies.append(await send(http, "survey", b"roof", key="k1"))

        for http in (one, two, one, two):
            group.start_soon(copy, http)
    assert fleet.runs("k1") == 1
    assert [(r.body, outcome(r)) for r in replies] == [(b"roof", "answer")] * 4


async def test_key_of_another_request_is_refused(fleet):
    """Guards against a response to a different request under the same key."""
    await fleet.add_minion("m1")
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    async with open_caller(first.callers) as one, open_caller(second.callers) as two:
        await send(one, "survey", b"roof", key="k1")
        for http in (one, two):
            other = await send(http, "survey", b"another roof", key="k1")
            assert (other.status, outcome(other)) == (409, "not_run")
    assert fleet.runs("k1") == 1


async def test_lost_store_response_does_not_lose_the_claim(fleet, store_state):
    """Guards against a claim that its own writer takes for somebody else's (I6)."""
    await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    store_state.failures = StoreFailures(lose_responses=1)
    async with open_caller(ports.callers) as http:
        replies = [await send(http, "survey", b"roof", key="k1") for _ in range(2)]
    assert [outcome(r) for r in replies] == ["answer", "answer"]
    assert fleet.runs("k1") == 1


async def test_store_outage_refuses_claims_truthfully(fleet, store_state):
    """Guards against a claimed request without a claim, and against stopping all others (I5)."""
    await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        await send(http, "survey", b"a", key="before")
        store_state.failures = StoreFailures(outage=True)
        refused = await send(http, "survey", b"roof", key="k1")
        ordinary = await send(http)
        assert fleet.runs("k1") == 0
        store_state.failures = StoreFailures()
        answered = await send(http, "survey", b"roof", key="k1")
    assert (refused.status, outcome(refused)) == (503, "not_run")
    assert outcome(ordinary) == "answer"
    assert answered.body == b"roof"
    assert fleet.runs("k1") == 1


async def test_entry_killed_after_its_claim(fleet, tmp_path):
    """Guards against a second run of a request whose entry was killed (I6, I10)."""
    minion = await fleet.add_minion("m1", run_ms=60_000)
    other = await fleet.add_entry("e2")
    settings = make_settings("e1", fleet.store_url)
    records = list(fleet.records.values())
    async with (
        entry_process(tmp_path, settings, records) as (process, ports),
        open_caller(ports.callers) as http,
        open_caller(other.callers) as second,
        anyio.create_task_group() as group,
    ):
        dropped = []

        async def lose() -> None:
            try:
                await send(http, "survey", b"roof", key="k1")
            except TRANSPORT_ERRORS as error:
                dropped.append(error)

        group.start_soon(lose)
        await wait_until(lambda: minion.executed)
        process.kill()
        reply = await send(second, "survey", b"roof", key="k1")
        assert outcome(reply) == "outcome_unknown"
    assert dropped
    assert fleet.runs("k1") == 1


async def test_leaving_minion_gets_no_new_work(fleet):
    """Guards against work sent to a minion that leaves, by list or by its refusal (I7)."""
    told = await fleet.add_minion("m1")
    listed = await fleet.add_minion("m2")
    await fleet.add_minion("m3")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        fleet.records["m2"] = replace(fleet.records["m2"], state="leaving")
        fleet.publish()
        await anyio.wait_all_tasks_blocked()
        told.failures = replace(told.failures, mode="leaving")
        replies = [await send(http, "survey", b"x", key=f"k{n}") for n in range(40)]
    assert {outcome(r) for r in replies} == {"answer"}
    assert (told.refused, len(told.executed), len(listed.executed)) == (1, 0, 0)


async def test_failing_minion_is_ejected_and_returns(fleet):
    """Guards against a fast-failing minion that attracts work, and one that never returns."""
    bad = await fleet.add_minion("m1", mode="error")
    await fleet.add_minion("m2")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        for _ in range(100):
            await send(http)
        assert bad.failed <= 12
        bad.failures = replace(bad.failures, mode="")
        with anyio.fail_after(10):
            while not bad.executed:
                await send(http)
                await anyio.sleep(0.02)


async def test_graceful_shutdown_under_load(fleet, tmp_path):
    """Guards against a planned stop that interrupts a request (I8)."""
    minion = await fleet.add_minion("m1", run_ms=300)
    settings = make_settings("e1", fleet.store_url)
    records = list(fleet.records.values())
    replies = []
    async with (
        entry_process(tmp_path, settings, records) as (process, ports),
        open_caller(ports.callers) as http,
        anyio.create_task_group() as group,
    ):

        async def one() -> None:
            replies.append(await send(http, "model"))

        for _ in range(24):
            group.start_soon(one)
        await wait_until(lambda: minion.executed)
        process.terminate()
        while (await http.request("GET", "/readyz")).status != 503:
            await anyio.lowlevel.checkpoint()
        with anyio.fail_after(10):
            assert await process.wait() == 0
    assert [outcome(r) for r in replies] == ["answer"] * 24


async def test_disconnected_caller_frees_slot_and_queue_place(fleet):
    """Guards against slots that are held for callers who have gone."""
    minion = await fleet.add_minion("m1", run_ms=600_000)
    ports = await fleet.add_entry("e1")
    view = fleet.views["e1"]
    async with open_caller(ports.callers) as http, anyio.create_task_group() as group:
        for _ in range(10):
            group.start_soon(send, http, "model")
        await wait_until(lambda: view.own_load.in_flight == 6 and view.own_load.queue_length == 4)
        group.cancel_scope.cancel()
    await wait_until(lambda: view.own_load.in_flight == 0 and view.own_load.queue_length == 0)
    await wait_until(lambda: minion.open_connections == 0)


async def test_long_answer_is_streamed_and_a_cut_is_visible(fleet):
    """Guards against a truncated stream that looks complete."""
    minion = await fleet.add_minion("m1", answer_bytes=3_000_000)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        assert len((await send(http)).body) == 3_000_000
        minion.failures = replace(minion.failures, mode="short")
        with pytest.raises(TRANSPORT_ERRORS):
            await send(http)


async def test_long_class_leaves_slots_for_ordinary_requests(fleet):
    """Guards against an ordinary check that waits behind long models."""
    await fleet.add_minion("m1", run_ms_by_class={"model": 60_000})
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http, anyio.create_task_group() as group:
        for _ in range(30):
            group.start_soon(send, http, "model")
        await wait_until(lambda: fleet.views["e1"].own_load.queue_length == 24)
        with anyio.fail_after(5):
            assert [outcome(await send(http)) for _ in range(5)] == ["answer"] * 5
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("headers", "path", "status"),
    [
        ({}, "check", 403),
        ({"foxtailwell-account": "nobody"}, "check", 403),
        ({"foxtailwell-account": "a"}, "unknown", 404),
        ({"foxtailwell-account": "a"}, "survey", 400),
        ({"foxtailwell-account": "a", "foxtailwell-deadline-ms": "-1"}, "check", 400),
    ],
)
async def test_unacceptable_request_is_refused(fleet, headers, path, status):
    """Guards against a request that runs without account, class, key or a usable deadline."""
    minion = await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        reply = await http.request("POST", f"/v1/requests/{path}", headers=headers)
    assert (reply.status, outcome(reply)) == (status, "not_run")
    assert not minion.executed


async def test_full_claim_document_refuses_truthfully(fleet, store_state, monkeypatch):
    """Guards against a claim document that grows beyond what the store takes (I5)."""
    monkeypatch.setattr("foxtailwell.entry._claim_writer.MAX_DOCUMENT_BYTES", 200)
    minion = await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        replies = [await send(http, "survey", b"x", key=f"k{n}") for n in range(60)]
    outcomes = [outcome(r) for r in replies]
    assert outcomes.count("answer") == len(minion.executed)
    assert 0 < outcomes.count("not_run") == 60 - len(minion.executed)
    assert all(len(e.value) <= 200 for e in store_state.entries.values())


async def test_two_entries_share_the_slots_of_a_minion(fleet):
    """Guards against an entry that does not recognise itself in the instance list."""
    minion = await fleet.add_minion("m1", run_ms=60_000)
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    loads = [fleet.views[name] for name in ("e1", "e2")]
    async with (
        open_caller(first.callers) as one,
        open_caller(second.callers) as two,
        anyio.create_task_group() as group,
    ):
        for _ in range(10):
            group.start_soon(send, one)
            group.start_soon(send, two)
        await wait_until(lambda: [view.own_load.in_flight for view in loads] == [4, 4])
        assert (minion.in_flight, minion.refused) == (8, 0)
        group.cancel_scope.cancel()


@pytest.mark.parametrize(("size", "expected"), [(1_000_000, "answer"), (3_000_000, "unknown")])
async def test_repetition_gets_a_streamed_answer_up_to_the_limit(fleet, size, expected):
    """Guards against a repetition that loses a long answer, and one that runs again (I6)."""
    minion = await fleet.add_minion("m1", answer_bytes=size)
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    async with open_caller(first.callers) as one, open_caller(second.callers) as two:
        answered = await send(one, "survey", b"roof", key="k1")
        for http in (one, two):
            again = await send(http, "survey", b"roof", key="k1")
            assert expected in outcome(again)
            assert (again.body == answered.body) == (expected == "answer")
    assert len(answered.body) == size
    assert len(minion.executed) == 1


async def test_minion_that_operators_took_out_gets_no_new_work(fleet):
    """Guards against requests for a zone or an instance that is out (I7)."""
    out = [await fleet.add_minion("m1", "zone-b"), await fleet.add_minion("m2")]
    used = await fleet.add_minion("m3")
    ports = await fleet.add_entry("e1")
    view = fleet.views["e1"]
    zones_out = {"zone-b": ZoneOut("zone-b", 0, "operator", "flood")}
    view.configuration = replace(CONFIGURATION, zones_out=zones_out, leaving_instances=("m2",))
    view.notify()
    await anyio.wait_all_tasks_blocked()
    async with open_caller(ports.callers) as http:
        replies = [await send(http) for _ in range(20)]
    assert {outcome(r) for r in replies} == {"answer"}
    assert [len(m.executed) for m in (*out, used)] == [0, 0, 20]


@pytest.mark.parametrize(("age_s", "status"), [(1.0, 200), (6.0, 503)])
async def test_entry_without_contact_is_not_ready(fleet, age_s, status):
    """Guards against an entry that takes work although it cannot learn of a zone-out (I3)."""
    ports = await fleet.add_entry("e1", evidence_age_s=age_s)
    async with open_caller(ports.callers) as http:
        assert (await http.request("GET", "/readyz")).status == status
        assert (await http.request("GET", "/healthz")).status == 200


@pytest.mark.parametrize(("peer", "status"), [("e1/scheduler", 503), ("e2/entry", 200)])
async def test_scheduler_of_the_same_instance_is_no_contact(fleet, peer, status):
    """Guards against a cut-off instance that stays ready because its own scheduler replies."""
    ports = await fleet.add_entry("e1", evidence_age_s=60.0)
    record = InstanceRecord(peer, "scheduler", "zone-a", "127.0.0.1:1")
    fleet.views["e1"].peers[peer] = PeerState(record, 1, Load(), time.monotonic())
    async with open_caller(ports.callers) as http:
        assert (await http.request("GET", "/readyz")).status == status
