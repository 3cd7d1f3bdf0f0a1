"""Plain reverse proxy on uvicorn and httpcore, the baseline of the entry benchmarks.

Usage: `python -m foxtailwell_bench.pass_through ADDRESS...`. It forwards requests to the
backend servers in turn and does nothing else.
"""

from __future__ import annotations

import itertools
import sys
from typing import Any, cast

import anyio
import httpcore

from foxtailwell.adapters.http_server import serve_http

# httpcore tries to import sniffio for each request, and a failed import searches the whole module
# path each time. An entry of None makes it fail immediately, so that it does not slow the baseline.
sys.modules.setdefault("sniffio", cast("Any", None))


def make_pass_through(pools: dict[str, httpcore.AsyncConnectionPool]) -> Any:
    """Return the ASGI application that forwards requests to the addresses of the pools.

    Each address has its own pool, because a pool scans all its connections at each request.
    """
    targets = itertools.cycle(pools.items())
    request_ids = itertools.count(1)

    async def app(scope: Any, receive: Any, send: Any) -> None:
        message = await receive()
        body = message.get("body", b"")
        while message.get("more_body"):
            message = await receive()
            body += message.get("body", b"")
        path = scope["path"].replace("/v1/requests/", "/v1/run/")
        address, pool = next(targets)
        reply = await pool.request(
            "POST",
            f"http://{address}{path}",
            headers=[("x-request-id", str(next(request_ids)))],
            content=body,
        )
        headers = [(name.lower(), value) for name, value in reply.headers]
        await send({"type": "http.response.start", "status": reply.status, "headers": headers})
        await send({"type": "http.response.body", "body": reply.content})

    return app


async def _main(*addresses: str) -> None:
    stop = anyio.Event()
    pools = {a: httpcore.AsyncConnectionPool(keepalive_expiry=30.0) for a in addresses}
    async with anyio.create_task_group() as group:
        app = make_pass_through(pools)
        port = await group.start(serve_http, app, "127.0.0.1", 0, stop)
        print(port, flush=True)
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(_main, *sys.argv[1:], backend_options={"use_uvloop": True})
