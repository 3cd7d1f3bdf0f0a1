"""A small HTTP client on httpcore for the JSON interfaces of the platform."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from urllib.parse import quote

import httpcore

__all__ = ["HttpClient", "HttpReply", "open_http_client", "path_segment"]

TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    OSError,
)
"""What a call may raise when no usable response arrived."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def path_segment(text: str) -> str:
    """Quote a text for one segment of a path."""
    return quote(text, safe="")


class HttpClient:
    """A connection pool to one base URL."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, base_url: str) -> None:
        self._pool = pool
        self._base_url = base_url.rstrip("/")
        self.bytes_sent = 0
        self.calls = 0

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> HttpReply:
        """Send one request and read the whole response.

        Args:
            method: HTTP method.
            path: Path with its query, from the base URL.
            body: Request body.
            headers: Further headers.
            timeout_s: Limit of each step: connect, write, read.

        Returns:
            The response, whatever its status.

        Raises:
            httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError: No usable
                response arrived; the request may have been handled.
        """
        limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        self.calls += 1
        self.bytes_sent += len(body) + len(path) + 128
        response = await self._pool.request(
            method,
            self._base_url + path,
            headers=[(k, v) for k, v in (headers or {}).items()],
            content=body,
            extensions={"timeout": limits},
        )
        pairs = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in response.headers}
        return HttpReply(response.status, pairs, response.content)


@asynccontextmanager
async def open_http_client(
    base_url: str, *, max_connections: int = 16, retries: int = 0
) -> AsyncIterator[HttpClient]:
    """Open a client for one base URL.

    Args:
        base_url: Scheme, host and port.
        max_connections: Size of the pool.
        retries: Connection attempts after the first one.
    """
    pool = httpcore.AsyncConnectionPool(
        max_connections=max_connections, keepalive_expiry=30.0, retries=retries
    )
    async with pool:
        yield HttpClient(pool, base_url)
