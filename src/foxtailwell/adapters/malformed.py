"""Errors with which msgspec rejects a malformed message."""

from __future__ import annotations

import msgspec

__all__ = ["MALFORMED"]

MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Caught wherever a message is decoded; deep nesting, even in a field that is not read, raises
`RecursionError`."""
