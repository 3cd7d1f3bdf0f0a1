"""HTTP client for the platform's list of instances."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, HttpClient, open_http_client
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.core import InstanceRecord
from foxtailwell.core.errors import UnavailableError

__all__ = ["InstanceListClient", "open_instance_list"]


class InstanceListClient:
    """Fetches the list of live and leaving instances, which may be out of date."""

    def __init__(self, http: HttpClient, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s
        self._etag = ""

    @property
    def bytes_sent(self) -> int:
        """Total bytes sent to the instance list since the client was opened."""
        return self._http.bytes_sent

    async def fetch(self) -> tuple[InstanceRecord, ...] | None:
        """Fetch the list if it changed since the last successful call (HTTP ETag).

        Returns:
            All instances, or None if the list has not changed.

        Raises:
            UnavailableError: No response arrived, or it could not be decoded.
        """
        try:
            reply = await self._http.request(
                "GET",
                "/v1/instances",
                headers={"if-none-match": self._etag},
                timeout_s=self._timeout_s,
            )
        except TRANSPORT_ERRORS as error:
            raise _unavailable(type(error).__name__) from error
        if reply.status == 304:
            return None
        if reply.status != 200:
            raise _unavailable(f"status {reply.status}")
        records = _decode(reply.body)
        self._etag = reply.headers.get("etag", "")
        return records


def _decode(body: bytes) -> tuple[InstanceRecord, ...]:
    try:
        return msgspec.json.decode(body, type=tuple[InstanceRecord, ...])
    except MALFORMED as error:
        raise _unavailable(str(error)) from error


def _unavailable(cause: str) -> UnavailableError:
    return UnavailableError(
        f"instance list: {cause}",
        "the last known list stays in use; check the instance list service",
    )


@asynccontextmanager
async def open_instance_list(
    url: str, *, timeout_s: float = 1.0
) -> AsyncIterator[InstanceListClient]:
    """Open an instance list client with its own connection pool.

    Args:
        url: Scheme, host and port.
        timeout_s: Timeout of each step of a request (connect, write, read).
    """
    async with open_http_client(url, max_connections=2) as http:
        yield InstanceListClient(http, timeout_s)
