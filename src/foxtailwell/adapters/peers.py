"""Messages of the peer protocol between daemons, their encoding and their connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import anyio
import capnp
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from foxtailwell.core import RequestLoss
from foxtailwell.core.errors import FrameError

__all__ = [
    "ClaimReply",
    "ClaimQuery",
    "ConfigurationPush",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "Load",
    "Message",
    "PeerStream",
    "decode_frame",
    "encode_frame",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2_000_000
_PREFIX_BYTES = 4
_MAX_NESTING_DEPTH = 16
_WORD_BYTES = 8


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an entry daemon; `minions` pairs each minion with its requests from this daemon."""

    queue_length: int = 0
    in_flight: int = 0
    minions: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender; sent to each peer once per second.

    Attributes:
        instance: Identifier of the sender.
        role: Role of the sender.
        zone: Availability zone of the sender.
        revision: Configuration revision in force there.
        load: Load of an entry; sent to entries only.
        losses: Newest evidence of an entry against requests; sent to entries only.
    """

    instance: str
    role: str
    zone: str
    revision: int
    load: Load = Load()
    losses: tuple[RequestLoss, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply to a heartbeat, with the revision and age of the evidence for its configuration."""

    instance: str
    revision: int
    has_evidence: bool
    evidence_revision: int
    evidence_age_ms: int
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """A configuration document, sent to a peer that has a lower revision."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Asks a peer for the response to a request that it claimed."""

    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim query.

    Attributes:
        state: `answer`, `running`, `not_run` or `unknown`; the other fields belong to `answer`.
        status: HTTP status of the response.
        headers: HTTP headers of the response.
        body: Body of the response.
    """

    state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Message = Heartbeat | HeartbeatReply | ConfigurationPush | ClaimQuery | ClaimReply


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with a sequence number that matches a reply to its request."""

    sequence: int
    message: Message


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix.

    Raises:
        FrameError: The frame is too long, or a value is out of range for its field.
    """
    kind, fields = _encode_message(frame.message)
    try:
        struct = _schema().Frame.new_message(
            version=PROTOCOL_VERSION, sequence=frame.sequence, **{kind: fields}
        )
        body: bytes = struct.to_bytes()
    except (capnp.KjException, ValueError, OverflowError, TypeError) as error:
        raise FrameError(
            f"{kind}: {error}", "send values within the range of their fields"
        ) from error
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"{kind}: {len(body)} bytes", f"send at most {MAX_FRAME_BYTES} bytes")
    return len(body).to_bytes(_PREFIX_BYTES, "little") + body


def decode_frame(body: bytes) -> Frame:
    """Decode a frame without its length prefix.

    Raises:
        FrameError: The frame is truncated or malformed, of an unknown kind, or of a newer protocol
            version.
    """
    try:
        with _schema().Frame.from_bytes(
            body,
            traversal_limit_in_words=4 * (len(body) // _WORD_BYTES + 64),
            nesting_limit=_MAX_NESTING_DEPTH,
        ) as struct:
            return _decode_struct(struct)
    except (capnp.KjException, ValueError) as error:
        detail = str(error).splitlines()[0][:200] if str(error) else type(error).__name__
        raise FrameError(
            f"malformed frame: {detail}", "check what connects to this port"
        ) from error


def _decode_struct(struct: Any) -> Frame:
    if struct.version > PROTOCOL_VERSION:
        raise FrameError(
            f"protocol version {struct.version}, this release supports up to {PROTOCOL_VERSION}",
            "upgrade this instance",
        )
    try:
        kind = str(struct.which())
    except capnp.KjException as error:
        raise FrameError("unknown kind of message", "upgrade this instance") from error
    return Frame(struct.sequence, _DECODERS[kind](getattr(struct, kind)))


@cache
def _schema() -> Any:
    # The import hook would make every later import search for schema files.
    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name("peers.capnp")))


def _encode_message(message: Message) -> tuple[str, dict[str, Any]]:
    match message:
        case Heartbeat():
            return "heartbeat", {
                "instance": message.instance,
                "role": message.role,
                "zone": message.zone,
                "revision": message.revision,
                "load": _encode_load(message.load),
                "losses": [_encode_loss(loss) for loss in message.losses],
            }
        case HeartbeatReply():
            return "heartbeatReply", {
                "instance": message.instance,
                "revision": message.revision,
                "hasEvidence": message.has_evidence,
                "evidenceRevision": message.evidence_revision,
                "evidenceAgeMs": message.evidence_age_ms,
                "load": _encode_load(message.load),
            }
        case ConfigurationPush():
            return "configuration", {"revision": message.revision, "document": message.document}
        case ClaimQuery():
            return "claimQuery", {"key": message.key, "digest": message.digest}
        case ClaimReply():
            return "claimAnswer", {
                "state": message.state,
                "status": message.status,
                "headers": [{"name": name, "value": value} for name, value in message.headers],
                "body": message.body,
            }


def _encode_load(load: Load) -> dict[str, Any]:
    return {
        "queueLength": load.queue_length,
        "inFlight": load.in_flight,
        "minions": [{"minion": name, "inFlight": count} for name, count in load.minions],
    }


def _encode_loss(loss: RequestLoss) -> dict[str, Any]:
    return {
        "digest": loss.digest,
        "minion": loss.minion,
        "weight": loss.weight,
        "ageMs": round(loss.age_s * 1000),
    }


def _decode_load(struct: Any) -> Load:
    minions = tuple((str(m.minion), int(m.inFlight)) for m in struct.minions)
    return Load(struct.queueLength, struct.inFlight, minions)


def _decode_loss(struct: Any) -> RequestLoss:
    return RequestLoss(str(struct.digest), str(struct.minion), struct.weight, struct.ageMs / 1000)


def _decode_heartbeat(struct: Any) -> Heartbeat:
    return Heartbeat(
        struct.instance,
        struct.role,
        struct.zone,
        struct.revision,
        _decode_load(struct.load),
        tuple(_decode_loss(loss) for loss in struct.losses),
    )


def _decode_heartbeat_reply(struct: Any) -> HeartbeatReply:
    return HeartbeatReply(
        struct.instance,
        struct.revision,
        struct.hasEvidence,
        struct.evidenceRevision,
        struct.evidenceAgeMs,
        _decode_load(struct.load),
    )


def _decode_claim_reply(struct: Any) -> ClaimReply:
    headers = tuple((str(h.name), str(h.value)) for h in struct.headers)
    return ClaimReply(struct.state, struct.status, headers, bytes(struct.body))


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "heartbeat": _decode_heartbeat,
    "heartbeatReply": _decode_heartbeat_reply,
    "configuration": lambda s: ConfigurationPush(s.revision, bytes(s.document)),
    "claimQuery": lambda s: ClaimQuery(s.key, s.digest),
    "claimAnswer": _decode_claim_reply,
}


class PeerStream:
    """Sends and receives frames over one connection.

    Args:
        stream: Connection; the caller must close it.
        on_sent: Called with the size in bytes of each frame after it was sent.
    """

    def __init__(self, stream: ByteStream, on_sent: Callable[[int], None]) -> None:
        self._stream = stream
        self._received = BufferedByteReceiveStream(stream)
        self._on_sent = on_sent

    async def send(self, frame: Frame, *, timeout_s: float) -> None:
        """Send one frame.

        Raises:
            FrameError: The frame cannot be encoded; nothing was sent.
            TimeoutError: The peer did not read in time.
            anyio.BrokenResourceError: The connection is broken.
        """
        data = encode_frame(frame)
        with anyio.fail_after(timeout_s):
            await self._stream.send(data)
        self._on_sent(len(data))

    async def receive(self, *, timeout_s: float) -> Frame | None:
        """Receive one frame.

        Returns:
            The frame, or None if the peer closed the connection between two frames.

        Raises:
            FrameError: The frame is too long, truncated, or cannot be decoded.
            TimeoutError: No complete frame arrived in time.
            anyio.BrokenResourceError: The connection is broken.
        """
        with anyio.fail_after(timeout_s):
            try:
                prefix = await self._received.receive_exactly(_PREFIX_BYTES)
            except anyio.IncompleteRead as error:
                if not self._received.buffer:
                    return None
                raise _truncation_error() from error
            length = int.from_bytes(prefix, "little")
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f"{length} bytes announced", f"send at most {MAX_FRAME_BYTES} bytes"
                )
            try:
                return decode_frame(await self._received.receive_exactly(length))
            except anyio.IncompleteRead as error:
                raise _truncation_error() from error


def _truncation_error() -> FrameError:
    return FrameError("truncated frame", "check the link to the peer")
