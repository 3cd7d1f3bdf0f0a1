"""Client of the peer protocol: heartbeats to all peers, and claim queries to one of them."""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from ipaddress import ip_address
from itertools import count

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters import events
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.peers import (
    ClaimQuery,
    ClaimReply,
    ConfigurationPush,
    Frame,
    Heartbeat,
    HeartbeatReply,
    Load,
    PeerStream,
)
from foxtailwell.core import InstanceRecord, RequestLoss, Role
from foxtailwell.core.errors import FrameError
from foxtailwell.fleet._peer_server import (
    make_byte_counter,
    make_configuration_pusher,
    record_refused_frame,
)
from foxtailwell.fleet._state import (
    FleetState,
    adopt_document,
    handle_peer_reply,
    listed_peers,
    remove_unresponsive_peers,
)

HEARTBEAT_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 2.0
CLAIM_QUERY_TIMEOUT_S = 5.0
MAX_REPORTED_REQUESTS = 65_535
"""Largest number of requests in flight per minion that a heartbeat can report (16 bits)."""

_CONNECTION_ERRORS = (
    TimeoutError,
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@dataclass(frozen=True, slots=True)
class Identity:
    """Fields of the heartbeats that identify this daemon.

    Attributes:
        instance: Identifier in the instance list, `<instance>/<role>`.
        role: Role of the daemon.
        zone: Availability zone of its instance.
    """

    instance: str
    role: Role
    zone: str


async def run_heartbeats(
    state: FleetState, identity: Identity, seed_peers: tuple[str, ...]
) -> None:
    """Run one heartbeat task for each peer in the instance list until cancelled.

    While the list has no peer, heartbeats go to the seed peers instead.
    """
    scopes: dict[InstanceRecord, anyio.CancelScope] = {}
    async with anyio.create_task_group() as group:
        while True:
            changed = state.view.changed
            targets = _heartbeat_targets(state, seed_peers)
            for record in [r for r in scopes if r not in targets]:
                scopes.pop(record).cancel()
            for record in targets - scopes.keys():
                scopes[record] = _start_heartbeats(group, state, identity, record)
            remove_unresponsive_peers(state, time.monotonic())
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await changed.wait()


def _heartbeat_targets(state: FleetState, seed_peers: tuple[str, ...]) -> set[InstanceRecord]:
    listed = set(listed_peers(state.view).values())
    return listed or {InstanceRecord("", "entry", "", address) for address in seed_peers}


def _start_heartbeats(
    group: TaskGroup, state: FleetState, identity: Identity, record: InstanceRecord
) -> anyio.CancelScope:
    scope = anyio.CancelScope()

    async def run() -> None:
        with scope:
            while True:
                await _send_heartbeats(state, identity, record)
                # Jitter keeps all daemons from reconnecting to a restarted peer at once.
                await anyio.sleep(HEARTBEAT_INTERVAL_S * (0.5 + random.random() / 2))

    group.start_soon(run)
    return scope


async def _send_heartbeats(state: FleetState, identity: Identity, record: InstanceRecord) -> None:
    try:
        async with _connect(state, record.address) as peer:
            push = make_configuration_pusher(state, peer)
            # Another daemon may have the address by now, so the first heartbeat on a connection
            # carries no evidence; the reply tells who has answered.
            revision = await _exchange_heartbeat(state, identity, record, peer, 1)
            await push(revision)
            for sequence in count(2):
                due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
                losses = _shared_losses(state, record)
                revision = await _exchange_heartbeat(
                    state, identity, record, peer, sequence, losses
                )
                await push(revision)
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
    except FrameError as error:
        record_refused_frame(state, error, record.id or record.address)
    except _CONNECTION_ERRORS:
        return  # The peer is logged as lost when its last reply is too old.


def _shared_losses(state: FleetState, record: InstanceRecord) -> tuple[RequestLoss, ...]:
    if record.role != "entry":
        return ()
    return state.view.suspects.shared_losses(time.monotonic())


async def _exchange_heartbeat(
    state: FleetState,
    identity: Identity,
    record: InstanceRecord,
    peer: PeerStream,
    sequence: int,
    losses: tuple[RequestLoss, ...] = (),
) -> int:
    """Send one heartbeat, process the reply and return the configuration revision of the peer.

    Raises:
        TimeoutError: The reply did not arrive in time, or another daemon replied at this address.
    """
    view = state.view
    sent_at_s = time.monotonic()
    heartbeat = Heartbeat(
        identity.instance,
        identity.role,
        identity.zone,
        view.configuration.revision,
        _reported_load(view.own_load) if record.role == "entry" else Load(),
        losses,
    )
    await peer.send(Frame(sequence, heartbeat), timeout_s=REPLY_TIMEOUT_S)
    reply = await _receive_reply(state, peer, sequence)
    if reply.instance == identity.instance:
        return reply.revision
    if record.id and reply.instance != record.id:
        log_event(events.PEER_MISMATCH, expected=record.id, found=reply.instance)
        raise TimeoutError
    peer_record = view.instances.get(reply.instance) or _seed_record(record, reply.instance)
    handle_peer_reply(state, peer_record, reply, sent_at_s, time.monotonic())
    return reply.revision


async def _receive_reply(state: FleetState, peer: PeerStream, sequence: int) -> HeartbeatReply:
    """Receive frames until the reply to this heartbeat; apply configurations that precede it."""
    with anyio.fail_after(REPLY_TIMEOUT_S):
        while True:
            frame = await peer.receive(timeout_s=REPLY_TIMEOUT_S)
            if frame is None:
                raise anyio.EndOfStream
            match frame.message:
                case ConfigurationPush() as configuration:
                    adopt_document(state, configuration.document, "peer")
                case HeartbeatReply() as reply if frame.sequence == sequence:
                    return reply
                case other:
                    kind = type(other).__name__
                    raise FrameError(
                        f"{kind} is not the expected reply: sequence {frame.sequence}",
                        "check which release the peer runs",
                    )


def _reported_load(load: Load) -> Load:
    in_flight = tuple((name, min(n, MAX_REPORTED_REQUESTS)) for name, n in load.minions if n > 0)
    return replace(load, minions=in_flight)


def _seed_record(seed: InstanceRecord, instance: str) -> InstanceRecord:
    role: Role = "scheduler" if instance.endswith("/scheduler") else "entry"
    return replace(seed, id=instance, role=role)


@asynccontextmanager
async def _connect(state: FleetState, address: str) -> AsyncIterator[PeerStream]:
    host, port = _split_address(address)
    with anyio.fail_after(REPLY_TIMEOUT_S):
        stream = await anyio.connect_tcp(host, port)
    async with stream:
        yield PeerStream(stream, make_byte_counter(state))


def _split_address(address: str) -> tuple[str, int]:
    try:
        host, _, port_text = address.rpartition(":")
        port = int(port_text)
        ip = ip_address(host.strip("[]"))
    except ValueError as error:
        raise OSError(f"{address} is no peer address; use IP-address:port") from error
    if not 0 < port <= 65_535:
        raise OSError(f"{address} has an invalid port; use a port from 1 to 65535")
    return str(ip), port


def _find_claim_owner(state: FleetState, instance: str) -> InstanceRecord | None:
    """Return the entry that owns a claim, which may be named without its role suffix."""
    for name in (instance, f"{instance}/entry"):
        if name in state.view.instances:
            return state.view.instances[name]
        if name in state.view.peers:
            return state.view.peers[name].record
    return None


def make_claim_client(
    state: FleetState,
) -> Callable[[str, ClaimQuery], Awaitable[ClaimReply | None]]:
    """Return the function that queries a claim's owner for the response of the request.

    It returns None if the owner is unknown or does not respond.
    """

    async def query_claim(instance: str, query: ClaimQuery) -> ClaimReply | None:
        record = _find_claim_owner(state, instance)
        if record is None:
            return None
        try:
            async with _connect(state, record.address) as peer:
                await peer.send(Frame(1, query), timeout_s=REPLY_TIMEOUT_S)
                frame = await peer.receive(timeout_s=CLAIM_QUERY_TIMEOUT_S)
        except FrameError as error:
            record_refused_frame(state, error, instance)
            return None
        except _CONNECTION_ERRORS:
            return None
        if frame is None or frame.sequence != 1 or not isinstance(frame.message, ClaimReply):
            return None
        return frame.message

    return query_claim
