"""Fleet tasks of several daemons against a stand-in store and instance list."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import anyio
import pytest

from foxtailwell.adapters.documents import encode_document
from foxtailwell.adapters.peers import ClaimQuery, ClaimReply, Frame, Heartbeat, encode_frame
from foxtailwell.adapters.settings import Endpoint, PlatformSettings, Settings
from foxtailwell.adapters.store import new_write_id, open_store
from foxtailwell.core import Configuration, InstanceRecord
from foxtailwell.fleet import FleetView, run_fleet
from foxtailwell_standins.instance_list import InstanceListState, make_instance_list_app
from foxtailwell_standins.store import StoreFailures, make_store_app

pytestmark = pytest.mark.anyio
UNUSED_URL = "http://127.0.0.1:9"


@dataclass
class Fleet:
    """URLs and state of the stand-in store and instance list, which all daemons share."""

    store_url: str
    list_url: str
    store: object
    instances: InstanceListState

    @asynccontextmanager
    async def daemon(self, instance, role="entry", *, listed=True, seeds=(), **platform):
        """Run the fleet tasks of one daemon; yield its view and its peer address."""
        urls = {"store_url": self.store_url, "instance_list_url": self.list_url, **platform}
        endpoint = Endpoint("127.0.0.1", 0)
        settings = Settings(
            instance,
            "region",
            "zone-a",
            PlatformSettings(**urls, instance_list_interval_ms=100),
            endpoint,
            endpoint,
            seed_peers=tuple(seeds),
        )
        view = FleetView()

        async def start(task_status):
            async with open_store(urls["store_url"]) as store:
                await run_fleet(
                    settings, role, store, view, claim_handler=handle_claim, task_status=task_status
                )

        async with anyio.create_task_group() as group:
            port = await group.start(start)
            address = f"127.0.0.1:{port}"
            if listed:
                self.instances.put(InstanceRecord(f"{instance}/{role}", role, "zone-a", address))
            yield view, address
            group.cancel_scope.cancel()

    async def write(self, document, expected_version):
        """Write a configuration document to the store; version 0 creates it."""
        async with open_store(self.store_url) as store:
            await store.compare_and_swap("config", expected_version, document, new_write_id())


async def handle_claim(query):
    if query.key == "broken":
        raise RuntimeError("fault in the handler")
    body = bytes(3_000_000 if query.key == "large" else 3)
    return ClaimReply("answer", 200, (("a", "b"),), body)


async def until(condition, timeout_s=10.0):
    with anyio.fail_after(timeout_s):
        while not condition():  # noqa: ASYNC110 - the condition spans several daemons
            await anyio.sleep(0.01)


def configuration(revision):
    return encode_document(Configuration(revision=revision))


@pytest.fixture
async def fleet(serving, store_state):
    instances = InstanceListState()
    async with (
        serving(make_store_app(store_state)) as store_url,
        serving(make_instance_list_app(instances)) as list_url,
    ):
        yield Fleet(store_url, list_url, store_state, instances)


async def test_evidence_against_requests_reaches_all_entries_and_survives_a_restart(fleet):
    """Guards against a request that crashes more minions at each entry and after each restart."""

    def refuses(view):
        return view.suspects.refusal_s("d", time.monotonic()) > 0

    async with fleet.daemon("i-2") as (second, _), fleet.daemon("i-3", "scheduler") as (third, _):
        async with fleet.daemon("i-1") as (first, _):
            for minion in ("m1", "m2"):
                first.suspects.record_loss("d", minion, ran_s=0.1, now_s=time.monotonic())
            await until(lambda: refuses(second))
        async with fleet.daemon("i-1") as (restarted, _):
            await until(lambda: refuses(restarted))
        assert third.suspects.is_empty


async def test_evidence_is_not_sent_to_another_daemon_at_the_address_of_an_entry(fleet):
    """Guards against requests that are refused on evidence of which their minions know nothing."""
    async with (
        fleet.daemon("i-1") as (view, _),
        fleet.daemon("i-2", listed=False) as (other, address),
    ):
        view.suspects.record_loss("d", "m1", ran_s=0.1, now_s=time.monotonic())
        await until(lambda: "i-1/entry" in other.instances)
        fleet.instances.put(InstanceRecord("i-3/entry", "entry", "zone-a", address))
        await until(lambda: "i-3/entry" in view.instances)
        await anyio.sleep(2.5)
        assert other.suspects.is_empty


@pytest.mark.parametrize(
    ("change", "removed"),
    [({"address": "10.0.0.2:80"}, {"w-9"}), ({"address": ""}, {"w-9"}), ({"id": 7}, set())],
)
async def test_record_that_cannot_be_used_is_not_a_removal(fleet, change, removed):
    """Guards against a second run of a gang whose worker is listed with an odd record."""
    worker = InstanceRecord("w-1", "worker", "z", "10.0.0.1:80", accelerators=8)
    fleet.instances.put(replace(worker, **change))
    fleet.instances.put(replace(worker, id="w-2"))
    async with fleet.daemon("i-1") as (view, _):
        await until(lambda: "w-2" in view.instances)
        assert view.removed_instances(["w-1", "w-2", "w-9"]) == removed


@pytest.mark.parametrize("change", [{"address": "host:port"}, {"address": ""}, {"role": "new"}])
async def test_unusable_record_does_not_hide_the_other_instances(fleet, change, caplog_events):
    """Guards against a daemon that ends, or keeps an old list for ever, because of one record."""
    good = InstanceRecord("m-1", "minion", "z", "10.0.0.1:80", slots=4)
    fleet.instances.put(replace(good, id="m-0", **change))
    fleet.instances.put(good)
    async with fleet.daemon("i-1") as (view, _):
        await until(lambda: "m-1" in view.instances)
        fleet.instances.put(replace(good, id="m-2"))
        await until(lambda: "m-2" in view.instances)
        assert "m-0" not in view.instances
    refused = [event for event in caplog_events if event.get("event") == "FW1312"]
    assert [event["record"] for event in refused] == ["m-0"]


async def test_configuration_is_in_force_on_all_daemons_within_7_s(fleet):
    """Guards against a change that some daemons apply late or never."""
    async with (
        fleet.daemon("i-1") as (first, _),
        fleet.daemon("i-2", "scheduler") as (second, _),
        # The third daemon cannot reach the store and depends on relayed configurations.
        fleet.daemon("i-3", store_url=UNUSED_URL) as (third, _),
    ):
        views = (first, second, third)
        await until(lambda: all(len(v.peers) == 2 for v in views))
        start_s = time.monotonic()
        await fleet.write(configuration(1), 0)
        await until(lambda: all(v.configuration.revision == 1 for v in views), 7.0)
        await until(lambda: third.evidence is not None)
        assert time.monotonic() - start_s < 7.0
        assert not third.is_store_available
        assert {p.revision for p in first.peers.values()} <= {0, 1}


@pytest.mark.parametrize("is_list_down", [False, True])
async def test_restart_with_the_store_down_takes_the_configuration_from_peers(fleet, is_list_down):
    """Guards against a replaced instance that has no configuration during a store outage."""
    await fleet.write(configuration(4), 0)
    async with fleet.daemon("i-1") as (first, address):
        await until(lambda: first.configuration.revision == 4)
        fleet.store.failures = StoreFailures(outage=True)
        # Without the instance list a daemon knows only its seed peers.
        options = {"instance_list_url": UNUSED_URL} if is_list_down else {}
        async with fleet.daemon("i-2", seeds=[address], **options) as (second, _):
            await until(lambda: second.configuration.revision == 4)
            # The document precedes the heartbeat reply that adds the peer to the view.
            await until(lambda: "i-1/entry" in second.peers)
            assert second.peers["i-1/entry"].revision == 4
            assert not second.is_isolated(time.monotonic())


async def test_watch_resumes_after_an_outage_with_bounded_calls(fleet):
    """Guards against a missed change, and against calls that overload a recovering store."""
    await fleet.write(configuration(1), 0)
    async with fleet.daemon("i-1", "scheduler") as (view, _):
        await until(lambda: view.configuration.revision == 1)
        fleet.store.failures = StoreFailures(outage=True)
        await until(lambda: not view.is_store_available)
        calls, start_s = fleet.store.counts["reads"], time.monotonic()
        await until(lambda: fleet.store.counts["reads"] >= calls + 4)
        assert time.monotonic() - start_s > 0.5
        fleet.store.failures = StoreFailures()
        await fleet.write(configuration(2), 1)
        await until(lambda: view.configuration.revision == 2)
        assert view.is_store_available


async def test_unsupported_or_unreadable_document_leaves_the_old_one_in_force(fleet):
    """Guards against a release that misreads a newer document, or starts work without it."""
    await fleet.write(configuration(1), 0)
    async with fleet.daemon("i-1", "scheduler") as (view, _):
        await until(lambda: view.evidence is not None and view.evidence.revision == 1)
        newer = encode_document(replace(Configuration(revision=2), schema_version=99))
        await fleet.write(newer, 1)
        calls = fleet.store.counts["reads"]
        await until(lambda: fleet.store.counts["reads"] >= calls + 2)
        last_evidence = view.evidence
        await fleet.write("{not json", 2)
        await until(lambda: fleet.store.counts["reads"] >= calls + 4)
        assert (view.configuration.revision, view.evidence) == (1, last_evidence)
        await fleet.write(configuration(4), 3)
        await until(lambda: view.evidence.revision == 4)


async def test_restored_store_neither_reverts_the_configuration_nor_gives_evidence(fleet):
    """Guards against a zone that returns to service because a restored store lost a change."""
    await fleet.write(configuration(6), 0)
    await fleet.write(configuration(7), 1)
    async with fleet.daemon("i-1", "scheduler") as (view, _):
        await until(lambda: view.evidence is not None and view.evidence.revision == 7)
        fleet.store.entries.clear()
        fleet.store.revision = 1
        await fleet.write(configuration(3), 0)
        calls = fleet.store.counts["reads"]
        await until(lambda: fleet.store.counts["reads"] >= calls + 3)
        last_evidence = view.evidence
        await until(lambda: fleet.store.counts["reads"] >= calls + 5)
        assert (view.configuration.revision, view.evidence) == (7, last_evidence)


async def test_evidence_is_dated_to_the_request_of_a_delayed_response(fleet):
    """Guards against evidence dated to the arrival of a response instead of its request."""
    fleet.store.failures = StoreFailures(latency_ms=400)
    start_s = time.monotonic()
    async with fleet.daemon("i-1", "scheduler") as (view, _):
        await until(lambda: view.evidence is not None)
        assert time.monotonic() - view.evidence.at_monotonic_s >= 0.4
        assert view.evidence.at_monotonic_s >= start_s


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x10\0\0\0short",
        b"\0\0\0\0",
        encode_frame(Frame(1, ClaimReply("answer"))),
    ],
)
async def test_refused_frame_closes_the_connection_and_the_daemon_continues(fleet, data):
    """Guards against a client of another protocol on the peer port that stops a daemon."""
    async with fleet.daemon("i-1") as (view, address):
        host, port = address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            await stream.send_eof()
            with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
                await stream.receive()
        assert view.frames_refused == 1
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(encode_frame(Frame(1, Heartbeat("x/entry", "entry", "z", 0))))
            with anyio.fail_after(5):
                assert await stream.receive()


async def test_claim_query_gets_the_response_of_the_named_peer(fleet):
    """Guards against a duplicate without a response, and a failing handler that stops a daemon."""
    async with fleet.daemon("i-1") as (first, _), fleet.daemon("i-2") as (second, _):
        await until(lambda: "i-2/entry" in first.instances)
        reply = await first.query_claim("i-2/entry", ClaimQuery("k", "d"))
        assert reply == ClaimReply("answer", 200, (("a", "b"),), bytes(3))
        assert await first.query_claim("i-2", ClaimQuery("k", "d")) == reply
        for key in ("broken", "large"):
            reply = await first.query_claim("i-2/entry", ClaimQuery(key, "d"))
            assert reply == ClaimReply("unknown")
        assert await first.query_claim("absent/entry", ClaimQuery("k", "d")) is None
        await until(lambda: "i-1/entry" in second.peers)


async def test_stopped_peer_is_removed_and_the_last_list_is_kept(fleet):
    """Guards against slots shared with a stopped daemon, and a list emptied by its outage."""
    async with fleet.daemon("i-1") as (first, _):
        async with fleet.daemon("i-2"):
            await until(lambda: "i-2/entry" in first.peers)
            fleet.instances.outage = True
        await until(lambda: "i-2/entry" not in first.peers)
        assert set(first.instances) == {"i-1/entry", "i-2/entry"}


async def test_other_daemon_at_a_listed_address_is_not_taken_for_the_peer(fleet):
    """Guards against evidence and load attributed to an instance that was replaced."""
    async with fleet.daemon("i-1") as (first, _), fleet.daemon("i-2", listed=False) as (_, address):
        fleet.instances.put(InstanceRecord("i-9/entry", "entry", "zone-a", address))
        fleet.instances.put(InstanceRecord("i-8/entry", "entry", "zone-a", "no-address"))
        await until(lambda: "i-9/entry" in first.instances)
        async with fleet.daemon("i-3"):
            await until(lambda: "i-3/entry" in first.peers)
        assert "i-9/entry" not in first.peers
