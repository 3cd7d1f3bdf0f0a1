"""Selection of free TCP ports for processes that tests start."""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack
from pathlib import Path

__all__ = ["ephemeral_ports", "free_ports"]

PORTS = range(10_000, 65_536)

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")

_rng = random.SystemRandom()


def ephemeral_ports() -> range:
    """Return the ports that the kernel assigns to sockets which ask for none."""
    first, last = EPHEMERAL_RANGE.read_text(encoding="ascii").split()
    return range(int(first), int(last) + 1)


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free at the time of the call.

    They are not ephemeral: the kernel would assign such a port to another socket before the caller
    listens on it, or while its process restarts.
    """
    ephemeral = ephemeral_ports()
    candidates = [port for port in PORTS if port not in ephemeral]
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            port = _rng.choice(candidates)
            sock = stack.enter_context(socket.socket())
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports
