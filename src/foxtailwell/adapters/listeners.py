"""Serves the connections of TCP listeners."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

__all__ = ["serve_connections"]


async def serve_connections(
    listener: MultiListener[SocketStream], handle: Callable[[SocketStream], Awaitable[None]]
) -> None:
    """Serve the connections of a listener until cancelled, then close it.

    asyncio sets the result of an accept although it was cancelled in the same iteration of the
    event loop, which fails and leaves the connection open. Therefore a cancellation reaches the
    accept only after the event loop has stopped watching the listener.

    Args:
        listener: Sockets to accept connections from.
        handle: Serves one connection and closes it; cancelled with this function.
    """
    accepting = anyio.CancelScope(shield=True)

    async def accept() -> None:
        with accepting:
            await listener.serve(handle, connections)

    async with listener, anyio.create_task_group() as connections:
        connections.start_soon(accept)
        try:
            await anyio.sleep_forever()
        finally:
            for each in listener.listeners:
                asyncio.get_running_loop().remove_reader(each.extra(SocketAttribute.raw_socket))
            accepting.cancel()
