"""HTTP client based on httpcore for the platform's JSON interfaces."""

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
"""Exceptions of `HttpClient.request` when no usable response arrived."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def path_segment(text: str) -> str:
    """Percent-encode a text, slashes included, for use as one path segment."""
    return quote(text, safe="")


class HttpClient:
    """Sends requests to one base URL over a connection pool and counts calls and bytes."""

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
        """Send one request and read the complete response.

        Args:
            method: HTTP method.
            path: Path and query, appended to the base URL.
            body: Request body.
            headers: Additional headers.
            timeout_s: Timeout of each step: obtaining a pooled connection, connect, write and read.

        Returns:
            The response, whatever its status.

        Raises:
            httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError: No usable
                response arrived; the server may have processed the request.
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
        base_url: Scheme, host and port; empty if requests carry absolute URLs.
        max_connections: Maximum number of connections in the pool.
        retries: Number of retries after a failed connection attempt.
    """
    pool = httpcore.AsyncConnectionPool(
        max_connections=max_connections, keepalive_expiry=30.0, retries=retries
    )
    async with pool:
        yield HttpClient(pool, base_url)
