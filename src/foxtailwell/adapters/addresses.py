"""Parsing of network addresses."""

from __future__ import annotations

__all__ = ["split_address"]

MAX_PORT = 65_535
"""Highest TCP port."""

_PORT_DIGITS = 5


def split_address(text: str) -> tuple[str, int] | None:
    """Return the host and the port of `host:port`; None unless the port is from 1 to 65535.

    The host is not checked and may be empty.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS):
        return None
    return (host, int(port)) if 0 < int(port) <= MAX_PORT else None
