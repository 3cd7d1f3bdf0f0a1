"""Replies to peers: heartbeats, relayed configurations and claim queries."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from foxtailwell.adapters import events
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
from foxtailwell.fleet._state import FleetState, adopt_document, make_reply, note_peer_load

ClaimHandler = Callable[[ClaimQuery], Awaitable[ClaimReply]]

MAX_CONNECTIONS = 256
"""Two-year size has about 20 own daemons; the rest is room for claim queries."""

IDLE_LIMIT_S = 15.0
SEND_LIMIT_S = 5.0
PUSH_INTERVAL_S = 5.0
"""A peer that cannot read a document must not be sent it with every heartbeat."""


async def serve_peers(
    state: FleetState,
    endpoint: Endpoint,
    claim_handler: ClaimHandler | None,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the peer protocol until cancelled; reports the bound port."""
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
    async with listener:
        port = listener.extra(SocketAttribute.local_port)
        log_event(events.PEER_LISTENING, host=endpoint.host, port=port)
        task_status.started(port)
        await listener.serve(handle)


async def _serve_connection(
    state: FleetState, stream: SocketStream, claim_handler: ClaimHandler | None
) -> None:
    peer = PeerStream(stream, make_byte_counter(state))
    push = make_pusher(state, peer)
    try:
        while (frame := await peer.receive(timeout_s=IDLE_LIMIT_S)) is not None:
            await _answer(state, peer, frame, claim_handler, push)
    except FrameError as error:
        refuse_frame(state, error, _remote(stream))
    except (TimeoutError, OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return  # The peer connects again; its silence is logged by its own heartbeat task.


async def _answer(
    state: FleetState,
    peer: PeerStream,
    frame: Frame,
    claim_handler: ClaimHandler | None,
    push: Callable[[int], Awaitable[None]],
) -> None:
    match frame.message:
        case Heartbeat() as heartbeat:
            note_peer_load(state, heartbeat.instance, heartbeat.load)
            # The peer stops reading at the reply, so the configuration goes first.
            await push(heartbeat.revision)
            reply = make_reply(state.view, time.monotonic())
            await peer.send(Frame(frame.sequence, reply), timeout_s=SEND_LIMIT_S)
        case ConfigurationPush() as configuration:
            adopt_document(state, configuration.document, "peer")
        case ClaimQuery() as query:
            answer = await _answer_claim(query, claim_handler)
            await _send_answer(peer, frame.sequence, answer)
        case other:
            kind = type(other).__name__
            raise FrameError(f"{kind} without a question", "check what connects to this port")


async def _answer_claim(query: ClaimQuery, handler: ClaimHandler | None) -> ClaimReply:
    if handler is None:
        return ClaimReply("unknown")
    try:
        return await handler(query)
    except Exception as error:
        # A fault in one answer must not end the daemon; the asker reports `outcome_unknown`.
        log_event(events.CLAIM_QUERY_FAILED, key=query.key, cause=repr(error))
        return ClaimReply("unknown")


async def _send_answer(peer: PeerStream, sequence: int, answer: ClaimReply) -> None:
    try:
        await peer.send(Frame(sequence, answer), timeout_s=SEND_LIMIT_S)
    except FrameError as error:
        log_event(events.CLAIM_QUERY_FAILED, cause=str(error))
        await peer.send(Frame(sequence, ClaimReply("unknown")), timeout_s=SEND_LIMIT_S)


def make_pusher(state: FleetState, peer: PeerStream) -> Callable[[int], Awaitable[None]]:
    """Return a function that sends the configuration to a peer with a lower revision."""
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
        await peer.send(frame, timeout_s=SEND_LIMIT_S)

    return push


def make_byte_counter(state: FleetState) -> Callable[[int], None]:
    """Return a function that adds to the bytes sent to peers."""

    def count(sent_bytes: int) -> None:
        state.view.peer_bytes_sent += sent_bytes

    return count


def refuse_frame(state: FleetState, error: FrameError, peer: str) -> None:
    """Count and log a refused message."""
    state.view.frames_refused += 1
    log_event(events.PEER_FRAME_REFUSED, peer=peer, cause=str(error))


def _remote(stream: SocketStream) -> str:
    address = stream.extra(SocketAttribute.remote_address, ("unknown", 0))
    return f"{address[0]}:{address[1]}"
