"""HTTP servers by uvicorn inside an anyio task."""

from __future__ import annotations

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
"""Longest time for requests in progress when a server stops."""


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response; data classes are encoded by their fields."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    def capture_signals(self) -> Any:
        """Leave the process's signal handlers as they are."""
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
    """Serve an application until the stop event is set, then finish what is in progress.

    Args:
        app: ASGI application.
        host: IP address to listen on.
        port: Port; 0 takes a free one.
        stop: Set to stop: no new connections, last responses are sent.
        grace_s: Longest time for requests in progress.
        task_status: Reports the port once the server listens.
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
        timeout_graceful_shutdown=int(grace_s),
        server_header=False,
        timeout_keep_alive=30,
    )
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            if server.should_exit:
                raise OSError(f"cannot listen on {host}:{port}")
            await anyio.sleep(0.005)
        task_status.started(server.servers[0].sockets[0].getsockname()[1])
        await stop.wait()
        server.should_exit = True
