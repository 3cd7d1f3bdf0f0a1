"""Selection of free TCP ports for processes that tests start."""

from __future__ import annotations

import socket

__all__ = ["free_ports"]


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free at the time of the call.

    Another process may take one before the caller listens on it.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
