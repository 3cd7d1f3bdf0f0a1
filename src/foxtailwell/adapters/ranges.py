"""Numbers of messages, limited to the ranges in which arithmetic and encoding are safe.

Integers in JSON are unlimited: those from about 10^308 cannot be converted to floats, and many
readers reject those above 64 bits.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, TypeVar

import msgspec

__all__ = ["MAX_INTEGER", "Integer", "NaturalNumber", "Seconds", "decode_in_range"]

T = TypeVar("T")

MAX_INTEGER = 2**53
"""Largest magnitude of an integer; every integer up to it is exact as a float."""

MAX_SECONDS = 1e9
"""Longest duration, about 30 years."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
NaturalNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]

# A literal first byte lets the search skip ahead, which makes three searches faster than one.
_MAYBE_LARGE = tuple(
    re.compile(before + rb"\s*-?(?:[0-9]{16}|[0-9][0-9.]*[eE]\+?[0-9])")
    for before in (rb":", rb",", rb"\[")
)
"""One of them matches every object or list with a number beyond `MAX_INTEGER`, and few others."""


def decode_in_range(body: bytes, kind: type[T]) -> T:
    """Decode JSON into a class whose fields declare no ranges.

    Raises:
        msgspec.DecodeError: The text is not JSON, does not match the class, or has a number whose
            magnitude exceeds `MAX_INTEGER`.
    """
    decoded = msgspec.json.decode(body, type=kind)
    if any(pattern.search(body) for pattern in _MAYBE_LARGE):
        _check_range(msgspec.json.decode(body))
    return decoded


def _check_range(value: Any) -> None:
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        for item in value:
            _check_range(item)
    elif isinstance(value, int | float) and abs(value) > MAX_INTEGER:
        raise msgspec.ValidationError(f"a number exceeds {MAX_INTEGER}")
