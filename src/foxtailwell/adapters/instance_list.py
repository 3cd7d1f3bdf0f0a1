"""Client of the platform's instance list."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, HttpClient, open_http_client
from foxtailwell.core import InstanceRecord
from foxtailwell.core.errors import UnavailableError

__all__ = ["InstanceListClient", "open_instance_list"]


class InstanceListClient:
    """Reads the list of live and leaving instances; the list lags behind the fleet."""

    def __init__(self, http: HttpClient, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s
        self._etag = ""

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the instance list so far."""
        return self._http.bytes_sent

    async def fetch(self) -> tuple[InstanceRecord, ...] | None:
        """Read the list.

        Returns:
            All instances, or None when the list has not changed since the last call.

        Raises:
            UnavailableError: The list did not respond or could not be read.
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
        try:
            records = msgspec.json.decode(reply.body, type=tuple[InstanceRecord, ...])
        except msgspec.DecodeError as error:
            raise _unavailable(str(error)) from error
        self._etag = reply.headers.get("etag", "")
        return records


def _unavailable(cause: str) -> UnavailableError:
    return UnavailableError(
        f"instance list: {cause}", "the last known list stays in use; check the list's service"
    )


@asynccontextmanager
async def open_instance_list(
    url: str, *, timeout_s: float = 1.0
) -> AsyncIterator[InstanceListClient]:
    """Open a client of the instance list.

    Args:
        url: Scheme, host and port.
        timeout_s: Limit of each step of a call.
    """
    async with open_http_client(url, max_connections=2) as http:
        yield InstanceListClient(http, timeout_s)
