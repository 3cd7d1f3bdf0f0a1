"""Encoding, decoding and transport of peer protocol frames."""

from __future__ import annotations

from contextlib import suppress

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailwell.adapters.peers import (
    ClaimQuery,
    ClaimReply,
    ConfigurationPush,
    Frame,
    Heartbeat,
    HeartbeatReply,
    Load,
    PeerStream,
    decode_frame,
    encode_frame,
)
from foxtailwell.core import RequestLoss
from foxtailwell.core.errors import FrameError

TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
U16, U32, U64 = (st.integers(0, 2**bits - 1) for bits in (16, 32, 64))
PAIRS = st.lists(st.tuples(TEXT, TEXT), max_size=4).map(tuple)
LOAD = st.builds(Load, U32, U32, st.lists(st.tuples(TEXT, U16), max_size=4).map(tuple))
LOSS = st.builds(RequestLoss, TEXT, TEXT, st.integers(0, 255), st.integers(0, 9).map(float))
MESSAGES = st.one_of(
    st.builds(Heartbeat, TEXT, TEXT, TEXT, U64, LOAD, st.lists(LOSS, max_size=3).map(tuple)),
    st.builds(HeartbeatReply, TEXT, U64, st.booleans(), U64, U64, LOAD),
    st.builds(ConfigurationPush, U64, st.binary(max_size=64)),
    st.builds(ClaimQuery, TEXT, TEXT),
    st.builds(ClaimReply, TEXT, U16, PAIRS, st.binary(max_size=64)),
)
FRAMES = st.builds(Frame, U64, MESSAGES)


@given(FRAMES)
def test_messages_round_trip(frame):
    """Guards against fields that are lost or swapped by the encoding."""
    data = encode_frame(frame)
    assert int.from_bytes(data[:4], "little") == len(data) - 4
    assert decode_frame(data[4:]) == frame


@given(st.binary(max_size=256))
def test_arbitrary_bytes_are_decoded_or_rejected(data):
    """Guards against untyped exceptions on arbitrary bytes from a foreign or broken connection."""
    with suppress(FrameError):
        decode_frame(data)


@given(FRAMES, st.data())
def test_corrupted_frames_are_decoded_or_rejected(frame, data):
    """Guards against untyped exceptions on a frame with one changed byte or a truncated end."""
    body = bytearray(encode_frame(frame)[4:])
    index = data.draw(st.integers(0, len(body) - 1))
    body[index] ^= data.draw(st.integers(1, 255))
    for damaged in (bytes(body), bytes(body[:index])):
        with suppress(FrameError):
            decode_frame(damaged)


def frame_with_field(offset, value):
    """Return a claim query frame with a 16-bit field of its first data word overwritten."""
    body = bytearray(encode_frame(Frame(1, ClaimQuery("k", "d")))[4:])
    body[16 + offset : 18 + offset] = value.to_bytes(2, "little")
    return bytes(body)


def test_newer_version_and_unknown_kind_are_rejected():
    """Guards against messages of a later release that are decoded as messages of this one."""
    assert decode_frame(frame_with_field(0, 1)).message == ClaimQuery("k", "d")
    with pytest.raises(FrameError, match="protocol version 2"):
        decode_frame(frame_with_field(0, 2))
    with pytest.raises(FrameError, match="unknown kind"):
        decode_frame(frame_with_field(2, 99))


@pytest.mark.parametrize(
    "message",
    [
        ConfigurationPush(1, bytes(2_000_000)),
        ClaimReply("answer", 70_000),
        ClaimQuery("\ud800", ""),
        Heartbeat("i", "entry", "z", -1),
    ],
)
def test_message_beyond_limits_is_not_encoded(message):
    """Guards against sending a frame for which every peer would close the connection."""
    with pytest.raises(FrameError):
        encode_frame(Frame(1, message))


class FixedStream:
    """A byte stream that returns fixed bytes."""

    def __init__(self, data):
        self.data = data

    async def receive(self, max_bytes=65536):
        """Return at most `max_bytes` of the remaining bytes."""
        if not self.data:
            raise anyio.EndOfStream
        chunk, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return chunk


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\1\0", "truncated"),
        (b"\x40\0\0\0abc", "truncated"),
        ((2_000_001).to_bytes(4, "little"), "announced"),
        (b"\0\0\0\0", "malformed"),
    ],
)
async def test_malformed_stream_raises_frame_error(data, message):
    """Guards against untyped errors, and against reading more bytes than a frame may have."""
    with pytest.raises(FrameError, match=message):
        await PeerStream(FixedStream(data), lambda _: None).receive(timeout_s=1)


@pytest.mark.anyio
async def test_close_between_frames_is_not_an_error():
    """Guards against an error for each peer that shuts down gracefully."""
    frame = Frame(3, ClaimQuery("k", "d"))
    stream = PeerStream(FixedStream(encode_frame(frame)), lambda _: None)
    assert await stream.receive(timeout_s=1) == frame
    assert await stream.receive(timeout_s=1) is None
