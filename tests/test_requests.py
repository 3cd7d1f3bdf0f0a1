"""Tests of the request path: entries and stand-in minions over HTTP, with injected failures."""

from __future__ import annotations

import time
from dataclasses import replace
from random import Random

import anyio
import pytest

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS
from foxtailwell.adapters.peers import Load
from foxtailwell.core import InstanceRecord, ZoneOut, is_ejected
from foxtailwell.entry._minion_pool import MinionPool
from foxtailwell.fleet import FleetView, PeerState
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
    """Yield an empty fleet with a stand-in store."""
    async with serving(make_store_app(store_state)) as url, anyio.create_task_group() as group:
        yield Fleet(group, url)
        group.cancel_scope.cancel()


async def test_request_through_an_entry_process(fleet, tmp_path):
    """Guards against an entry that works only inside the test process."""
    await fleet.add_minion("m1")
    settings = make_settings("e1", fleet.store_url)
    async with (
        entry_process(tmp_path, settings, list(fleet.records.values())) as (_, ports),
        open_caller(ports.callers) as http,
    ):
        reply = await send(http, body=b"level?")
        assert (reply.status, reply.body, outcome(reply)) == (200, b"level?", "answer")
        assert (await http.request("GET", "/readyz")).status == 200


async def test_concurrent_callers_get_their_own_responses(fleet):
    """Guards against a response that is sent to another caller."""
    for name in ("m1", "m2", "m3"):
        await fleet.add_minion(name, run_ms=2)
    ports = await fleet.add_entry("e1")
    seen: dict[int, bytes] = {}
    async with open_caller(ports.callers) as http, anyio.create_task_group() as group:

        async def send_one(number: int) -> None:
            seen[number] = (await send(http, body=b"%d" % number)).body

        for number in range(60):
            group.start_soon(send_one, number)
    assert seen == {number: b"%d" % number for number in range(60)}


@pytest.mark.parametrize("mode", ["crossed", "short", "error", "cut_before", "cut_during"])
async def test_bad_response_is_never_forwarded(fleet, mode):
    """Guards against a mismatched or truncated response reaching a caller."""
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


async def test_unsolicited_response_is_not_used_for_the_next_request(fleet):
    """Guards against a connection that is reused although it has unread bytes."""
    await fleet.add_minion("m1", mode="extra")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        replies = [await send(http, body=b"%d" % n) for n in range(10)]
    assert all(r.body == b"%d" % n or outcome(r) != "answer" for n, r in enumerate(replies))


async def test_late_response_is_not_used_for_the_next_request(fleet):
    """Guards against a late response that is taken for the response to the following request."""
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
    """Guards against a `not_run` that is wrong, and a claim that keeps its key blocked.

    The connection to the minion fails before the request is sent.
    """
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


async def test_duplicates_at_two_entries_run_once(fleet):
    """Guards against a duplicate that runs because it arrived at another entry."""
    await fleet.add_minion("m1", run_ms=100)
    await fleet.add_minion("m2", run_ms=100)
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    replies = []
    async with (
        open_caller(first.callers) as first_http,
        open_caller(second.callers) as second_http,
        anyio.create_task_group() as group,
    ):

        async def send_duplicate(http) -> None:
            replies.append(await send(http, "survey", b"roof", key="k1"))

        for http in (first_http, second_http, first_http, second_http):
            group.start_soon(send_duplicate, http)
    assert fleet.runs("k1") == 1
    assert [(r.body, outcome(r)) for r in replies] == [(b"roof", "answer")] * 4


async def test_key_of_another_request_is_refused(fleet):
    """Guards against a request that gets the response to another request with the same key."""
    await fleet.add_minion("m1")
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    async with open_caller(first.callers) as first_http, open_caller(second.callers) as second_http:
        await send(first_http, "survey", b"roof", key="k1")
        for http in (first_http, second_http):
            other = await send(http, "survey", b"another roof", key="k1")
            assert (other.status, outcome(other)) == (409, "not_run")
    assert fleet.runs("k1") == 1


async def test_lost_store_response_does_not_lose_the_claim(fleet, store_state):
    """Guards against an entry that takes its own claim for that of another request.

    The store writes the claim, but its response is lost.
    """
    await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    store_state.failures = StoreFailures(lose_responses=1)
    async with open_caller(ports.callers) as http:
        replies = [await send(http, "survey", b"roof", key="k1") for _ in range(2)]
    assert [outcome(r) for r in replies] == ["answer", "answer"]
    assert fleet.runs("k1") == 1


async def test_store_outage_refuses_only_requests_that_need_a_claim(fleet, store_state):
    """Guards against a request that runs without its claim, and against refusing all others."""
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


async def test_request_of_a_killed_entry_is_not_run_again(fleet, tmp_path):
    """Guards against a second run of a request whose entry was killed."""
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
        disconnects = []

        async def send_until_disconnected() -> None:
            try:
                await send(http, "survey", b"roof", key="k1")
            except TRANSPORT_ERRORS as error:
                disconnects.append(error)

        group.start_soon(send_until_disconnected)
        await wait_until(lambda: minion.executed)
        process.kill()
        reply = await send(second, "survey", b"roof", key="k1")
        assert outcome(reply) == "outcome_unknown"
    assert disconnects
    assert fleet.runs("k1") == 1


async def test_leaving_minion_gets_no_new_requests(fleet):
    """Guards against requests to a minion that is leaving, by the instance list or its refusal."""
    refusing = await fleet.add_minion("m1")
    listed = await fleet.add_minion("m2")
    await fleet.add_minion("m3")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        fleet.records["m2"] = replace(fleet.records["m2"], state="leaving")
        fleet.publish()
        await anyio.wait_all_tasks_blocked()
        refusing.failures = replace(refusing.failures, mode="leaving")
        replies = [await send(http, "survey", b"x", key=f"k{n}") for n in range(40)]
    assert {outcome(r) for r in replies} == {"answer"}
    assert (refusing.refused, len(refusing.executed), len(listed.executed)) == (1, 0, 0)


async def test_failing_minion_is_ejected_and_returns(fleet):
    """Guards against a fast-failing minion that attracts requests, and an ejection without end."""
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


async def test_ejected_minion_returns_without_idempotent_requests():
    """Guards against an ejection without end where no request is safe to repeat."""
    now_s = 100.0
    view = FleetView()
    for name in ("m1", "m2"):
        view.instances[name] = InstanceRecord(name, "minion", "a", "127.0.0.1:1", slots=4)
    pool = MinionPool(view, "e1/entry", "a", lambda: now_s, Random(1))
    pool.refresh()

    def pick(avoid=()):
        minion = pool.pick(is_idempotent=False, avoid=frozenset(avoid), avoid_zone="")
        assert minion is not None
        return minion

    bad = pick(avoid=("m2",))
    pool.on_failure(bad)
    while not is_ejected(bad.health):
        pool.on_failure(pick(avoid=("m2",)))
    for _ in range(20):
        now_s += 1.0
        pool.refresh()
        pool.on_success(pick(), None)
    assert not is_ejected(bad.health)


async def test_graceful_shutdown_completes_requests_in_progress(fleet, tmp_path):
    """Guards against a graceful shutdown that interrupts requests."""
    minion = await fleet.add_minion("m1", run_ms=300)
    settings = make_settings("e1", fleet.store_url)
    records = list(fleet.records.values())
    replies = []
    async with (
        entry_process(tmp_path, settings, records) as (process, ports),
        open_caller(ports.callers) as http,
        anyio.create_task_group() as group,
    ):

        async def send_one() -> None:
            replies.append(await send(http, "model"))

        for _ in range(24):
            group.start_soon(send_one)
        await wait_until(lambda: minion.executed)
        process.terminate()
        while (await http.request("GET", "/readyz")).status != 503:
            await anyio.lowlevel.checkpoint()
        with anyio.fail_after(10):
            assert await process.wait() == 0
    assert [outcome(r) for r in replies] == ["answer"] * 24


async def test_disconnected_caller_frees_its_slot_and_queue_position(fleet):
    """Guards against slots and queue positions that stay occupied after callers disconnected."""
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


async def test_truncated_stream_is_visible_to_the_caller(fleet):
    """Guards against a streamed response that is truncated but looks complete."""
    minion = await fleet.add_minion("m1", answer_bytes=3_000_000)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        assert len((await send(http)).body) == 3_000_000
        minion.failures = replace(minion.failures, mode="short")
        with pytest.raises(TRANSPORT_ERRORS):
            await send(http)


async def test_broken_stream_starts_no_second_response(fleet, caplog, caplog_events):
    """Guards against an unexpected error, and a missing cause, when a streamed response breaks."""
    minion = await fleet.add_minion("m1", answer_bytes=3_000_000)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        minion.failures = replace(minion.failures, mode="short")
        with pytest.raises(TRANSPORT_ERRORS):
            await send(http)
        minion.failures = replace(minion.failures, mode="")
        assert outcome(await send(http)) == "answer"
    assert "Exception in ASGI application" not in caplog.text
    (event,) = [event for event in caplog_events if event["event"] == "FW1311"]
    assert (event["work_class"], event["minion"]) == ("check", "m1")
    assert event["cause"]


async def test_long_class_leaves_slots_for_ordinary_requests(fleet):
    """Guards against a short request that waits behind requests of a long class."""
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
async def test_invalid_request_is_refused(fleet, headers, path, status):
    """Guards against a request that runs without a valid account, class, key or deadline."""
    minion = await fleet.add_minion("m1")
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        reply = await http.request("POST", f"/v1/requests/{path}", headers=headers)
    assert (reply.status, outcome(reply)) == (status, "not_run")
    assert not minion.executed


async def test_full_claim_document_refuses_new_claims(fleet, store_state, monkeypatch):
    """Guards against a claim document that exceeds the size limit of the store."""
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
        open_caller(first.callers) as first_http,
        open_caller(second.callers) as second_http,
        anyio.create_task_group() as group,
    ):
        for _ in range(10):
            group.start_soon(send, first_http)
            group.start_soon(send, second_http)
        await wait_until(lambda: [view.own_load.in_flight for view in loads] == [4, 4])
        # An entry counts a request before the minion has received it.
        await wait_until(lambda: minion.in_flight == 8)
        assert minion.refused == 0
        group.cancel_scope.cancel()


@pytest.mark.parametrize(("size", "expected"), [(1_000_000, "answer"), (3_000_000, "unknown")])
async def test_duplicate_gets_a_streamed_response_up_to_the_limit(fleet, size, expected):
    """Guards against a duplicate that loses a long response, and one that runs again."""
    minion = await fleet.add_minion("m1", answer_bytes=size)
    first, second = await fleet.add_entry("e1"), await fleet.add_entry("e2")
    async with open_caller(first.callers) as first_http, open_caller(second.callers) as second_http:
        answered = await send(first_http, "survey", b"roof", key="k1")
        for http in (first_http, second_http):
            again = await send(http, "survey", b"roof", key="k1")
            assert expected in outcome(again)
            assert (again.body == answered.body) == (expected == "answer")
    assert len(answered.body) == size
    assert len(minion.executed) == 1


async def test_minion_taken_out_by_operators_gets_no_new_requests(fleet):
    """Guards against requests to a zone or an instance that is out of service."""
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
async def test_isolated_entry_is_not_ready(fleet, age_s, status):
    """Guards against an entry that stays ready although it cannot learn that a zone is out."""
    ports = await fleet.add_entry("e1", evidence_age_s=age_s)
    async with open_caller(ports.callers) as http:
        assert (await http.request("GET", "/readyz")).status == status
        assert (await http.request("GET", "/healthz")).status == 200


@pytest.mark.parametrize(("peer", "status"), [("e1/scheduler", 503), ("e2/entry", 200)])
async def test_scheduler_of_the_same_instance_does_not_end_isolation(fleet, peer, status):
    """Guards against an isolated instance that stays ready because its own scheduler replies."""
    ports = await fleet.add_entry("e1", evidence_age_s=60.0)
    record = InstanceRecord(peer, "scheduler", "zone-a", "127.0.0.1:1")
    fleet.views["e1"].peers[peer] = PeerState(record, 1, Load(), time.monotonic())
    async with open_caller(ports.callers) as http:
        assert (await http.request("GET", "/readyz")).status == status


async def add_fatal_minions(fleet, count: int) -> None:
    """Start minions that the request body `fatal` crashes."""
    for number in range(count):
        await fleet.add_minion(f"m{number}", fatal_body="fatal", run_ms=20)


async def test_request_that_crashes_every_minion_is_refused(fleet):
    """Guards against a request that crashes more minions each time its caller repeats it."""
    await add_fatal_minions(fleet, 8)
    ports = await fleet.add_entry("e1")
    async with open_caller(ports.callers) as http:
        replies = [await send(http, body=b"fatal") for _ in range(10)]
        other = await send(http, body=b"other")
    assert sum(len(m.executed) for m in fleet.minions.values()) - 1 <= 2
    assert outcome(replies[0]) == "outcome_unknown"
    assert {outcome(r) for r in replies[1:]} == {"not_run"}
    assert 0 < int(replies[-1].headers["retry-after"]) <= 30
    assert other.body == b"other"


async def test_fatal_request_is_refused_on_the_evidence_of_another_entry(fleet):
    """Guards against a request that crashes as many minions at each entry."""
    await add_fatal_minions(fleet, 8)
    ports = [await fleet.add_entry(name) for name in ("e1", "e2")]
    first, second = (fleet.views[name].suspects for name in ("e1", "e2"))
    async with open_caller(ports[0].callers) as http:
        while outcome(await send(http, body=b"fatal")) != "not_run":
            pass
    second.merge(first.shared_losses(time.monotonic()), time.monotonic())
    crashes = sum(len(m.executed) for m in fleet.minions.values())
    async with open_caller(ports[1].callers) as http:
        assert outcome(await send(http, body=b"fatal")) == "not_run"
    assert sum(len(m.executed) for m in fleet.minions.values()) == crashes


async def test_requests_beside_a_fatal_request_are_served(fleet):
    """Guards against requests that are refused because they shared a minion with its crash."""
    await add_fatal_minions(fleet, 6)
    ports = await fleet.add_entry("e1")
    replies = []
    async with open_caller(ports.callers) as http, anyio.create_task_group() as group:

        async def send_others(number: int) -> None:
            for _ in range(5):
                replies.append(await send(http, body=b"other-%d" % number))

        for number in range(12):
            group.start_soon(send_others, number)
        for _ in range(5):
            await send(http, body=b"fatal")
            await anyio.sleep(0.02)
    assert not [r for r in replies if outcome(r) == "not_run"]


async def test_repeated_key_of_a_fatal_request_is_never_said_not_to_have_run(fleet):
    """Guards against a refusal that denies the run of an earlier copy."""
    await add_fatal_minions(fleet, 4)
    ports = await fleet.add_entry("e1")
    first = []
    async with open_caller(ports.callers) as http:
        # A second crash of the same minion proves nothing new, and minions are drawn at random.
        while sum(bool(m.executed) for m in fleet.minions.values()) < 2:
            first.append(await send(http, "survey", b"fatal", key=f"k{len(first)}"))
        again = [await send(http, "survey", b"fatal", key=f"k{n}") for n in range(len(first))]
        new = await send(http, "survey", b"fatal", key="new")
    assert {outcome(r) for r in first + again} == {"outcome_unknown"}
    assert outcome(new) == "not_run"
    assert fleet.runs("new") == 0
