"""Runs uvicorn HTTP servers in anyio tasks and builds JSON responses."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any

import anyio
import msgspec
import uvicorn
from anyio.abc import TaskStatus
from starlette.responses import Response

__all__ = ["json_response", "serve_http"]

AsgiApp = Callable[..., Any]

GRACE_S = 60.0
"""Default maximum time for requests in progress to complete on shutdown."""


def json_response(value: object, status: int = 200) -> Response:
    """Build a JSON response; data classes are encoded by their fields."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


class _Server(uvicorn.Server):
    """A uvicorn server that does not install signal handlers; the daemon handles signals."""

    def capture_signals(self) -> Any:
        """Override uvicorn's method so that the process's signal handlers stay unchanged."""
        return nullcontext()


async def serve_http(
    app: AsgiApp,
    host: str,
    port: int,
    stop: anyio.Event,
    *,
    grace_s: float = GRACE_S,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until the stop event is set, then shut down gracefully.

    Args:
        app: ASGI application.
        host: IP address to listen on.
        port: Port to listen on; 0 selects a free port.
        stop: When set, no new connections are accepted and requests in progress are completed.
        grace_s: Maximum time for requests in progress to complete.
        task_status: Receives the port once the server is listening.

    Raises:
        OSError: The server stopped before it was listening.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        proxy_headers=False,
        lifespan="off",
        interface="asgi3",
        ws="none",
        timeout_graceful_shutdown=math.ceil(grace_s),
        server_header=False,
        timeout_keep_alive=30,
    )
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            if server.should_exit:
                raise OSError(f"cannot listen, check that the address is free: {host}:{port}")
            await anyio.sleep(0.005)
        task_status.started(server.servers[0].sockets[0].getsockname()[1])
        await stop.wait()
        server.should_exit = True
