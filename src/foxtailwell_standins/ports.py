"""Selection of free TCP ports for processes that tests start."""

from __future__ import annotations

import random
import socket
from pathlib import Path

__all__ = ["ephemeral_ports", "free_ports"]

PORTS = range(10_000, 65_536)

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")

_rng = random.SystemRandom()

_holders: list[socket.socket] = []


def ephemeral_ports() -> range:
    """Return the ports that the kernel assigns to sockets which ask for none."""
    first, last = EPHEMERAL_RANGE.read_text(encoding="ascii").split()
    return range(int(first), int(last) + 1)


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free, and reserve them until this process ends.

    They are not ephemeral: the kernel would assign such a port to another socket before the caller
    listens on it, or while its process restarts. Other processes that call this function do not
    get them either.

    Raises:
        RuntimeError: Too few ports are free.
    """
    ephemeral = ephemeral_ports()
    candidates = [port for port in PORTS if port not in ephemeral]
    reserved: dict[int, socket.socket] = {}
    for port in _rng.sample(candidates, len(candidates)):
        if len(reserved) == count:
            break
        holder = _reserve(port)
        if holder is None:
            continue
        if _is_free(port):
            reserved[port] = holder
        else:
            holder.close()
    if len(reserved) < count:
        raise RuntimeError(
            f"{len(reserved)} of {count} ports are free; end the processes of earlier tests"
        )
    _holders.extend(reserved.values())
    return list(reserved)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> socket.socket | None:
    """Return a socket that reserves a port until it is closed; None if another one does.

    It is bound to an abstract address, which the kernel releases when this process ends.
    """
    holder = socket.socket(socket.AF_UNIX)
    try:
        holder.bind(f"\0foxtailwell-port-{port}")
    except OSError:
        holder.close()
        return None
    return holder
