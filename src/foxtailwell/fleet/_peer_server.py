"""Server of the peer protocol: heartbeats, relayed configurations and claim queries.

Also holds the configuration pusher, byte counter and frame logging that the client side uses.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from foxtailwell.adapters import events
from foxtailwell.adapters.listeners import serve_connections
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.peers import (
    ClaimQuery,
    ClaimReply,
    ConfigurationPush,
    Frame,
    Heartbeat,
    PeerStream,
)
from foxtailwell.adapters.settings import Endpoint
from foxtailwell.core.errors import FrameError
from foxtailwell.fleet._state import FleetState, adopt_document, handle_peer_heartbeat, make_reply

ClaimHandler = Callable[[ClaimQuery], Awaitable[ClaimReply]]

MAX_CONNECTIONS = 256
"""At its planned two-year size a fleet has about 20 daemons; the other connections serve claim
queries."""

IDLE_TIMEOUT_S = 15.0
SEND_TIMEOUT_S = 5.0
PUSH_INTERVAL_S = 5.0
"""Least time between two pushes of one revision on a connection.

A peer that cannot read the document keeps reporting its old revision with every heartbeat."""


async def serve_peers(
    state: FleetState,
    endpoint: Endpoint,
    claim_handler: ClaimHandler | None,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the peer protocol until cancelled.

    Args:
        state: State that the messages update.
        endpoint: Address to listen on; port 0 binds any free port.
        claim_handler: Responds to claim queries; without it they receive `unknown`.
        task_status: Reports the bound port once the server listens.
    """
    connections = 0

    async def handle(stream: SocketStream) -> None:
        nonlocal connections
        async with stream:
            if connections >= MAX_CONNECTIONS:
                log_event(events.PEER_CONNECTIONS_FULL, connections=connections)
                return
            connections += 1
            try:
                await _serve_connection(state, stream, claim_handler)
            finally:
                connections -= 1

    listener = await anyio.create_tcp_listener(local_host=endpoint.host, local_port=endpoint.port)
    port = listener.extra(SocketAttribute.local_port)
    log_event(events.PEER_LISTENING, host=endpoint.host, port=port)
    task_status.started(port)
    await serve_connections(listener, handle)


async def _serve_connection(
    state: FleetState, stream: SocketStream, claim_handler: ClaimHandler | None
) -> None:
    peer = PeerStream(stream, make_byte_counter(state))
    push = make_configuration_pusher(state, peer)
    try:
        while (frame := await peer.receive(timeout_s=IDLE_TIMEOUT_S)) is not None:
            await _handle_frame(state, peer, frame, claim_handler, push)
    except FrameError as error:
        record_refused_frame(state, error, _remote_address(stream))
    except (TimeoutError, OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return  # The peer reconnects; an unresponsive peer is logged by the heartbeat task.


async def _handle_frame(
    state: FleetState,
    peer: PeerStream,
    frame: Frame,
    claim_handler: ClaimHandler | None,
    push: Callable[[int], Awaitable[None]],
) -> None:
    match frame.message:
        case Heartbeat() as heartbeat:
            handle_peer_heartbeat(state, heartbeat, time.monotonic())
            # The peer reads until the reply arrives, so the configuration must precede it.
            await push(heartbeat.revision)
            reply = make_reply(state.view, time.monotonic())
            await peer.send(Frame(frame.sequence, reply), timeout_s=SEND_TIMEOUT_S)
        case ConfigurationPush() as configuration:
            adopt_document(state, configuration.document, "peer")
        case ClaimQuery() as query:
            response = await _handle_claim_query(query, claim_handler)
            await _send_claim_response(peer, frame.sequence, response)
        case other:
            kind = type(other).__name__
            raise FrameError(f"{kind} is not a request", "check what connects to this port")


async def _handle_claim_query(query: ClaimQuery, handler: ClaimHandler | None) -> ClaimReply:
    if handler is None:
        return ClaimReply("unknown")
    try:
        return await handler(query)
    except Exception as error:
        # A failing handler must not stop the daemon; the querying entry reports `outcome_unknown`.
        log_event(events.CLAIM_QUERY_FAILED, key=query.key, cause=repr(error))
        return ClaimReply("unknown")


async def _send_claim_response(peer: PeerStream, sequence: int, response: ClaimReply) -> None:
    try:
        await peer.send(Frame(sequence, response), timeout_s=SEND_TIMEOUT_S)
    except FrameError as error:
        log_event(events.CLAIM_QUERY_FAILED, cause=str(error))
        await peer.send(Frame(sequence, ClaimReply("unknown")), timeout_s=SEND_TIMEOUT_S)


def make_configuration_pusher(
    state: FleetState, peer: PeerStream
) -> Callable[[int], Awaitable[None]]:
    """Return a function that sends the configuration to the peer of a connection if it is behind.

    The function takes the revision that the peer runs. It sends the same revision again only after
    `PUSH_INTERVAL_S`.
    """
    pushed_revision = 0
    pushed_at_s = 0.0

    async def push(peer_revision: int) -> None:
        nonlocal pushed_revision, pushed_at_s
        revision, now_s = state.view.configuration.revision, time.monotonic()
        is_repeated = pushed_revision == revision and now_s - pushed_at_s < PUSH_INTERVAL_S
        if peer_revision >= revision or is_repeated:
            return
        pushed_revision, pushed_at_s = revision, now_s
        frame = Frame(0, ConfigurationPush(revision, state.document))
        await peer.send(frame, timeout_s=SEND_TIMEOUT_S)

    return push


def make_byte_counter(state: FleetState) -> Callable[[int], None]:
    """Return a function that adds a number of bytes to `peer_bytes_sent` of the view."""

    def count(sent_bytes: int) -> None:
        state.view.peer_bytes_sent += sent_bytes

    return count


def record_refused_frame(state: FleetState, error: FrameError, peer: str) -> None:
    """Count and log a malformed or unexpected message of a peer."""
    state.view.frames_refused += 1
    log_event(events.PEER_FRAME_REFUSED, peer=peer, cause=str(error))


def _remote_address(stream: SocketStream) -> str:
    address = stream.extra(SocketAttribute.remote_address, ("unknown", 0))
    return f"{address[0]}:{address[1]}"
