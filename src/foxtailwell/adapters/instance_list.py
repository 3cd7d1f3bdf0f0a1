"""HTTP client for the platform's list of instances."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from foxtailwell.adapters.addresses import split_address
from foxtailwell.adapters.events import INSTANCE_REFUSED
from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, HttpClient, open_http_client
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.core import InstanceRecord
from foxtailwell.core.errors import UnavailableError

__all__ = ["InstanceListClient", "open_instance_list"]


_LIMITS = {
    "cores": 1_000_000,
    "memory_gb": 1_000_000,
    "accelerators": 1024,
    "slots": 1_000_000,
    "connections": 1_000_000,
}
"""Largest plausible sizes of an instance; the planner lists accelerators one by one."""


@dataclass(frozen=True, slots=True)
class _RefusedRecord:
    """A record that cannot be used, with the cause."""

    id: str
    cause: str


class _Identified(msgspec.Struct):
    id: str


class InstanceListClient:
    """Fetches the list of live and leaving instances, which may be out of date."""

    def __init__(self, http: HttpClient, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s
        self._etag = ""
        self._refused: set[_RefusedRecord] = set()

    @property
    def bytes_sent(self) -> int:
        """Total bytes sent to the instance list since the client was opened."""
        return self._http.bytes_sent

    @property
    def unreadable_ids(self) -> frozenset[str]:
        """Identifiers of the records of the last list that cannot be used; empty if unreadable."""
        return frozenset(record.id for record in self._refused)

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
        records = self._accept(_decode(reply.body))
        self._etag = reply.headers.get("etag", "")
        return records

    def _accept(
        self, rows: Sequence[InstanceRecord | _RefusedRecord]
    ) -> tuple[InstanceRecord, ...]:
        """Return the usable records; each of the others is logged once."""
        refused = {row for row in rows if isinstance(row, _RefusedRecord)}
        for row in refused - self._refused:
            log_event(INSTANCE_REFUSED, record=row.id, cause=row.cause)
        self._refused = refused
        records = tuple(row for row in rows if isinstance(row, InstanceRecord))
        if refused and not records:
            # An empty list would end the use of all instances.
            raise _unavailable("no record can be used")
        return records


def _decode(body: bytes) -> list[InstanceRecord | _RefusedRecord]:
    try:
        rows = msgspec.json.decode(body, type=tuple[msgspec.Raw, ...])
    except MALFORMED as error:
        raise _unavailable(str(error)) from error
    return [_decode_record(row) for row in rows]


def _decode_record(row: msgspec.Raw) -> InstanceRecord | _RefusedRecord:
    try:
        record = msgspec.json.decode(row, type=InstanceRecord)
    except MALFORMED as error:
        return _RefusedRecord(_find_id(row), str(error))
    if not _is_address(record.address):
        return _RefusedRecord(record.id, f'address "{record.address}" is not host:port')
    for name, limit in _LIMITS.items():
        if not 0 <= getattr(record, name) <= limit:
            return _RefusedRecord(record.id, f"{name} is not from 0 to {limit}")
    return record


def _find_id(row: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(row, type=_Identified).id
    except MALFORMED:
        return ""


def _is_address(text: str) -> bool:
    host, _ = split_address(text) or ("", 0)
    return bool(host) and host.isascii() and host.isprintable() and " " not in host


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
