"""Errors with which msgspec rejects a malformed message, and decoding of lists row by row."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from foxtailwell.adapters.events import ROWS_REFUSED
from foxtailwell.adapters.logs import log_event

__all__ = ["MALFORMED", "decode_rows"]

T = TypeVar("T")

MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Caught wherever a message is decoded; deep nesting, even in a field that is not read, raises
`RecursionError`."""


def decode_rows(rows: Sequence[msgspec.Raw], kind: type[T], name: str) -> list[T]:
    """Decode the rows of a list and leave out the malformed ones.

    Args:
        rows: Encoded rows.
        kind: Type of a row.
        name: Name of the list in the log.
    """
    decoder = msgspec.json.Decoder(kind)
    decoded: list[T] = []
    for row in rows:
        try:
            decoded.append(decoder.decode(row))
        except MALFORMED:
            continue
    if len(decoded) < len(rows):
        log_event(ROWS_REFUSED, list=name, count=len(rows) - len(decoded))
    return decoded
