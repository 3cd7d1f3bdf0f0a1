"""TCP relay that injects faults into the network link between two processes.

The relay forwards connections to one target. Tests set its faults over HTTP or in the same process.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Literal

import anyio
import msgspec
from anyio.abc import SocketStream, TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.listeners import serve_connections

__all__ = ["LinkFailures", "RelayState", "make_relay_app", "serve_relay"]

Direction = Literal["to_target", "to_client"]

CHUNK_BYTES = 65_536
CHUNKS_IN_FLIGHT = 256
"""Chunks that wait for their delay in each direction; if there are more, the sender must wait."""

CONNECT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class LinkFailures:
    """Faults of the link; `POST /control` takes the same fields.

    Attributes:
        cut: Whether open connections and all new ones are closed.
        delay_ms: Delay in each direction.
        jitter_ms: Upper limit of a random delay in addition to `delay_ms`; bytes keep their order.
        bytes_per_s: Bandwidth of a connection in each direction; 0 for no limit.
        drop: Directions whose bytes are dropped. A connection that lost bytes is closed once the
            direction works again, because its stream has a gap.
        cut_after_bytes: Number of bytes to the client after which a connection is closed, counted
            since it was opened; 0 for never.
    """

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0
    drop: tuple[Direction, ...] = ()
    cut_after_bytes: int = 0


@dataclass(slots=True, eq=False)
class _Connection:
    scope: anyio.CancelScope
    has_gap: bool = False
    to_client_bytes: int = 0


@dataclass(slots=True)
class RelayState:
    """One link with its faults and open connections.

    Attributes:
        target: `host:port` to which connections are forwarded.
        failures: Current faults; change them with `set_failures`.
        counts: Accepted, closed and refused connections, and forwarded bytes by direction.
        rng: Random source of the jitter.
    """

    target: str
    failures: LinkFailures = field(default_factory=LinkFailures)
    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(
            ("accepted", "cut", "refused", "to_target", "to_client"), 0
        )
    )
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    connections: set[_Connection] = field(default_factory=set)

    def set_failures(self, failures: LinkFailures) -> None:
        """Replace the faults, and close connections that are cut or have a gap in their stream."""
        restored = set(self.failures.drop) - set(failures.drop)
        self.failures = failures
        for connection in list(self.connections):
            if failures.cut or (restored and connection.has_gap):
                self.cut(connection)

    def cut(self, connection: _Connection) -> None:
        """Close a connection on both sides; a second call has no effect."""
        if not connection.scope.cancel_called:
            self.counts["cut"] += 1
            connection.scope.cancel()


def make_relay_app(state: RelayState) -> Starlette:
    """Return the HTTP interface of the relay.

    `GET /control` returns its state; `POST /control` also changes the faults that the body names.
    """

    async def control(request: Request) -> Response:
        if request.method == "POST":
            values = msgspec.json.decode(await request.body())
            failures = msgspec.convert(
                {**msgspec.to_builtins(state.failures), **values}, LinkFailures, strict=False
            )
            state.set_failures(failures)
        body = {
            "target": state.target,
            "failures": state.failures,
            "counts": state.counts,
            "open": len(state.connections),
        }
        return Response(msgspec.json.encode(body), media_type="application/json")

    return Starlette(routes=[Route("/control", control, methods=["GET", "POST"])])


async def serve_relay(
    state: RelayState, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Forward connections until cancelled.

    Args:
        state: Target and faults of the link.
        port: Port on 127.0.0.1; 0 for a free one.
        task_status: Receives the port once the relay accepts connections.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    task_status.started(int(listener.extra(anyio.abc.SocketAttribute.local_port)))
    await serve_connections(listener, lambda client: _forward(state, client))


async def _forward(state: RelayState, client: SocketStream) -> None:
    async with client:
        if state.failures.cut:
            state.counts["refused"] += 1
            return
        host, _, port = state.target.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                target = await anyio.connect_tcp(host, int(port))
        except OSError:
            state.counts["refused"] += 1
            return
        async with target:
            state.counts["accepted"] += 1
            await _run_connection(state, client, target)


async def _run_connection(state: RelayState, client: SocketStream, target: SocketStream) -> None:
    async with anyio.create_task_group() as group:
        connection = _Connection(group.cancel_scope)
        state.connections.add(connection)
        try:
            async with anyio.create_task_group() as directions:
                directions.start_soon(
                    _forward_direction, state, connection, client, target, "to_target"
                )
                directions.start_soon(
                    _forward_direction, state, connection, target, client, "to_client"
                )
        finally:
            state.connections.discard(connection)


async def _forward_direction(
    state: RelayState,
    connection: _Connection,
    source: SocketStream,
    sink: SocketStream,
    direction: Direction,
) -> None:
    send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](CHUNKS_IN_FLIGHT)
    async with anyio.create_task_group() as group:
        group.start_soon(_read, state, source, send)
        group.start_soon(_write, state, connection, receive, sink, direction)


async def _read(
    state: RelayState, source: SocketStream, send: MemoryObjectSendStream[tuple[float, bytes]]
) -> None:
    async with send:
        while True:
            try:
                chunk = await source.receive(CHUNK_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            failures = state.failures
            delay_ms = failures.delay_ms + state.rng.uniform(0.0, failures.jitter_ms)
            await send.send((time.monotonic() + delay_ms / 1000, chunk))


async def _write(
    state: RelayState,
    connection: _Connection,
    receive: MemoryObjectReceiveStream[tuple[float, bytes]],
    sink: SocketStream,
    direction: Direction,
) -> None:
    try:
        async with receive:
            async for due_s, chunk in receive:
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                await _deliver(state, connection, sink, direction, chunk)
        await sink.send_eof()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        connection.scope.cancel()


async def _deliver(
    state: RelayState,
    connection: _Connection,
    sink: SocketStream,
    direction: Direction,
    chunk: bytes,
) -> None:
    failures = state.failures
    if direction in failures.drop:
        connection.has_gap = True
        return
    if failures.bytes_per_s > 0:
        await anyio.sleep(len(chunk) / failures.bytes_per_s)
    limit = failures.cut_after_bytes
    if direction == "to_client" and limit:
        chunk = chunk[: max(0, limit - connection.to_client_bytes)]
    if chunk:
        await sink.send(chunk)
    state.counts[direction] += len(chunk)
    if direction == "to_client":
        connection.to_client_bytes += len(chunk)
        if limit and connection.to_client_bytes >= limit:
            state.cut(connection)
