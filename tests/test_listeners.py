"""Ends of the tasks that accept connections."""

from __future__ import annotations

import socket
from contextlib import suppress
from functools import partial

import anyio
import pytest
from anyio.lowlevel import checkpoint

from foxtailwell.adapters.settings import Endpoint
from foxtailwell.fleet import FleetView
from foxtailwell.fleet._peer_server import serve_peers
from foxtailwell.fleet._state import make_fleet_state
from foxtailwell_standins.relay import RelayState, serve_relay

SERVERS = {
    "peers": lambda: partial(
        serve_peers, make_fleet_state(FleetView()), Endpoint("127.0.0.1", 0), None
    ),
    "relay": lambda: partial(serve_relay, RelayState("127.0.0.1:1"), 0),
}

LOOPS = {name: ("asyncio", {"use_uvloop": name == "uvloop"}) for name in ("asyncio", "uvloop")}
"""Event loops; the daemons run on uvloop, the tests and the command of the relay on asyncio's."""


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("checkpoints", range(4))
async def test_connection_that_comes_in_as_its_listener_ends_is_closed(server, checkpoints):
    """Guards against the result of an accept that was cancelled in the same loop iteration."""
    with socket.socket() as client:
        client.settimeout(5)
        async with anyio.create_task_group() as group:
            port = await group.start(SERVERS[server]())
            await anyio.sleep(0.01)
            client.connect(("127.0.0.1", port))
            # After one checkpoint the event loop has seen the connection and not accepted it.
            for _ in range(checkpoints):
                await checkpoint()
            group.cancel_scope.cancel()
        with suppress(ConnectionResetError):
            assert client.recv(1) == b""
