"""Numbers of messages, limited to the ranges in which arithmetic and encoding are safe.

Integers in JSON are unlimited: those from about 10^308 cannot be converted to floats, and many
readers reject those above 64 bits.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ["MAX_INTEGER", "Integer", "NaturalNumber", "Seconds"]

MAX_INTEGER = 2**53
"""Largest magnitude of an integer; every integer up to it is exact as a float."""

MAX_SECONDS = 1e9
"""Longest duration, about 30 years."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
NaturalNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
