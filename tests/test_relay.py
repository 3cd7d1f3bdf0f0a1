"""The TCP relay that injects link faults in failure tests."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from foxtailwell.adapters.http_client import open_http_client
from foxtailwell.adapters.listeners import serve_connections
from foxtailwell_standins.relay import LinkFailures, RelayState, make_relay_app, serve_relay

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def _open_link():
    """Run a relay to an echo server; yield its state and a function that connects through it."""

    async def echo(client):
        async with client:
            async for chunk in client:
                await client.send(chunk)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    target_port = listener.extra(anyio.abc.SocketAttribute.local_port)
    state = RelayState(f"127.0.0.1:{target_port}")
    async with anyio.create_task_group() as group:
        group.start_soon(serve_connections, listener, echo)
        port = await group.start(serve_relay, state, 0)
        yield state, lambda: anyio.connect_tcp("127.0.0.1", port)
        group.cancel_scope.cancel()


async def _receive_all(stream, limit=10**9):
    data = b""
    with anyio.fail_after(10):
        while len(data) < limit:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return data


async def _wait_until(condition):
    for _ in range(2_000):
        if condition():
            return
        await anyio.sleep(0.005)
    pytest.fail("the condition did not hold within 10 s")


async def test_bytes_pass_in_both_directions_and_ends_are_forwarded():
    """Guards against a relay that changes, reorders or loses bytes without a fault."""
    async with _open_link() as (state, connect), await connect() as stream:
        sent = bytes(range(256)) * 2000
        state.set_failures(LinkFailures(jitter_ms=3.0))
        async with anyio.create_task_group() as group:

            async def send():
                await stream.send(sent)
                await stream.send_eof()

            group.start_soon(send)
            assert await _receive_all(stream) == sent
    assert state.counts["to_target"] == state.counts["to_client"] == len(sent)


async def test_cut_closes_open_and_new_connections_until_it_ends():
    """Guards against a cut link on which a process still gets responses."""
    async with _open_link() as (state, connect):
        async with await connect() as stream:
            await stream.send(b"a")
            assert await _receive_all(stream, 1) == b"a"
            state.set_failures(LinkFailures(cut=True))
            assert await _receive_all(stream) == b""
        async with await connect() as stream:
            assert await _receive_all(stream) == b""
        state.set_failures(LinkFailures())
        async with await connect() as stream:
            await stream.send(b"b")
            assert await _receive_all(stream, 1) == b"b"
        assert (state.counts["cut"], state.counts["refused"]) == (1, 1)


async def test_delay_and_bandwidth_slow_a_round_trip():
    """Guards against delay and bandwidth limits that have no effect."""
    async with _open_link() as (state, connect), await connect() as stream:
        state.set_failures(LinkFailures(delay_ms=60))
        started_s = time.monotonic()
        await stream.send(b"x")
        assert await _receive_all(stream, 1) == b"x"
        assert time.monotonic() - started_s >= 0.12
        state.set_failures(LinkFailures(bytes_per_s=20_000))
        started_s = time.monotonic()
        await stream.send(b"x" * 2_000)
        await _receive_all(stream, 2_000)
        assert time.monotonic() - started_s >= 0.2


async def test_dropped_direction_loses_bytes_and_the_stream_closes_afterwards():
    """Guards against a stream that continues after lost bytes, which TCP never allows."""
    async with _open_link() as (state, connect), await connect() as stream:
        state.set_failures(LinkFailures(drop=("to_client",)))
        await stream.send(b"lost")
        await _wait_until(lambda: any(c.has_gap for c in state.connections))
        state.set_failures(LinkFailures())
        assert await _receive_all(stream) == b""
    assert (state.counts["to_target"], state.counts["to_client"]) == (4, 0)


async def test_connection_is_cut_after_exactly_the_configured_bytes():
    """Guards against a truncation that lets more bytes pass than configured."""
    async with _open_link() as (state, connect), await connect() as stream:
        state.set_failures(LinkFailures(cut_after_bytes=10))
        await stream.send(b"0123456789abcdef")
        assert await _receive_all(stream) == b"0123456789"


async def test_control_call_changes_only_the_faults_it_names(serving):
    """Guards against a control call that resets faults that it does not name."""
    state = RelayState("127.0.0.1:1", LinkFailures(delay_ms=5))
    async with serving(make_relay_app(state)) as url, open_http_client(url) as http:
        await http.request("POST", "/control", body=b'{"cut": true, "drop": ["to_client"]}')
        reply = await http.request("GET", "/control")
    assert state.failures == LinkFailures(cut=True, delay_ms=5, drop=("to_client",))
    assert msgspec.json.decode(reply.body)["failures"]["delay_ms"] == 5
