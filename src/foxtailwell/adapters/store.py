"""Client of the platform's configuration store.

The store is a key-value service with compare-and-swap, leases and watches over HTTP. Another store
is plugged in by a module with the same functions.
"""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Literal, TypeVar

import msgspec

from foxtailwell.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpClient,
    HttpReply,
    open_http_client,
    path_segment,
)
from foxtailwell.core.errors import (
    StoreConflictError,
    StoreOverloadedError,
    StoreRefusedError,
    StoreUnavailableError,
)

__all__ = ["LeaseGrant", "StoreClient", "Versioned", "WatchResult", "new_write_id", "open_store"]

T = TypeVar("T")

_OVERLOAD_REMEDY = "call again after a pause; nothing took effect"
_REFUSED_REMEDY = "check the size of the document and the release of the store"
_EXPECTED_STATUSES = frozenset({200, 404, 409})
_OUTAGE_REMEDY = "read the key back before sending the write again"


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value with the version that a compare-and-swap must name."""

    key: str
    version: int
    value: str
    write_id: str


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Newest values of all keys below a prefix that changed after a revision."""

    revision: int
    changes: tuple[Versioned, ...]


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Answer to a lease call.

    Attributes:
        held: Whether the caller holds the lease now.
        holder: Current holder.
        term: Rises whenever the lease goes to a new holder.
        remaining_s: Time left.
    """

    held: bool
    holder: str
    term: int
    remaining_s: float


def new_write_id() -> str:
    """Return a unique identifier by which a lost write is recognised."""
    return uuid.uuid4().hex


class StoreClient:
    """Calls of the store. Every call counts against the store's limits."""

    def __init__(self, http: HttpClient, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s

    @property
    def calls(self) -> int:
        """Number of calls sent so far."""
        return self._http.calls

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the store so far."""
        return self._http.bytes_sent

    async def get(self, key: str) -> Versioned | None:
        """Read one key.

        Returns:
            The value, or None when the key does not exist.

        Raises:
            StoreUnavailableError: No response arrived.
            StoreOverloadedError: The store's rate limit was reached.
        """
        reply = await self._call("GET", f"/v1/kv/{path_segment(key)}")
        if reply.status == 404:
            return None
        return _decode(reply, Versioned)

    async def compare_and_swap(
        self, key: str, expected_version: int, value: str, write_id: str
    ) -> int:
        """Write a key if its version is still the expected one.

        Args:
            key: Key to write.
            expected_version: Version that was read; 0 creates the key.
            value: New value, at most 1 MB.
            write_id: Identifier by which the own write is recognised after a lost response.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The version has moved; nothing was written.
            StoreUnavailableError: No response arrived; the write may have taken effect.
            StoreOverloadedError: The store's rate limit was reached; nothing was written.
        """
        body = {"expected_version": expected_version, "value": value, "write_id": write_id}
        reply = await self._call(
            "PUT", f"/v1/kv/{path_segment(key)}", body=msgspec.json.encode(body)
        )
        if reply.status == 409:
            raise StoreConflictError(key, expected_version, _decode(reply, _Version).version)
        return _decode(reply, _Version).version

    async def write_with_readback(
        self, key: str, expected_version: int, value: str, write_id: str
    ) -> int:
        """Write a key, and read it back when the response is lost.

        The same write is sent once more when the key has not changed: both carry the same
        expected version, so at most one of them takes effect.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The version has moved. When a response was lost, the own write may
                have taken effect before that of another; the content of the key tells.
            StoreUnavailableError: It is not known whether the write took effect.
            StoreOverloadedError: The store's rate limit was reached; nothing was written.
        """
        try:
            return await self.compare_and_swap(key, expected_version, value, write_id)
        except StoreUnavailableError:
            if version := await self._find_write(key, expected_version, write_id):
                return version
        try:
            return await self.compare_and_swap(key, expected_version, value, write_id)
        except StoreConflictError:
            if version := await self._find_write(key, expected_version, write_id):
                return version
            raise
        except StoreOverloadedError as error:
            # The first write may still arrive, so "nothing was written" would be wrong.
            raise StoreUnavailableError(error.message, _OUTAGE_REMEDY) from error

    async def _find_write(self, key: str, expected_version: int, write_id: str) -> int:
        """Return the version of an own write, or 0 when the key has not changed."""
        current = await self.get(key)
        current_version = current.version if current is not None else 0
        if current is not None and current.write_id == write_id:
            return current_version
        if current_version != expected_version:
            raise StoreConflictError(key, expected_version, current_version)
        return 0

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchResult:
        """Wait for changes below a prefix.

        Args:
            prefix: Start of the keys.
            after_revision: Store revision of the last result; 0 returns everything at once.
            wait_s: Longest wait; then an empty result returns.

        Raises:
            StoreUnavailableError: No response arrived.
            StoreOverloadedError: The store's rate limit was reached.
        """
        path = f"/v1/watch?prefix={path_segment(prefix)}&after={after_revision}&wait_s={wait_s}"
        reply = await self._call("GET", path, timeout_s=wait_s + self._timeout_s)
        return _decode(reply, WatchResult)

    async def lease_acquire(self, key: str, holder: str, ttl_s: float) -> LeaseGrant:
        """Take a lease if it is free, or learn who holds it."""
        return await self._lease(key, "acquire", holder, ttl_s)

    async def lease_renew(self, key: str, holder: str, ttl_s: float) -> LeaseGrant:
        """Renew an own lease; `held` is false when it went to another holder."""
        return await self._lease(key, "renew", holder, ttl_s)

    async def lease_release(self, key: str, holder: str) -> LeaseGrant:
        """Give a lease back at once."""
        return await self._lease(key, "release", holder, 0.0)

    async def _lease(
        self, key: str, action: Literal["acquire", "renew", "release"], holder: str, ttl_s: float
    ) -> LeaseGrant:
        body = msgspec.json.encode({"action": action, "holder": holder, "ttl_s": ttl_s})
        reply = await self._call("POST", f"/v1/leases/{path_segment(key)}", body=body)
        return _decode(reply, LeaseGrant)

    async def _call(
        self, method: str, path: str, *, body: bytes = b"", timeout_s: float | None = None
    ) -> HttpReply:
        try:
            reply = await self._http.request(
                method, path, body=body, timeout_s=timeout_s or self._timeout_s
            )
        except TRANSPORT_ERRORS as error:
            raise StoreUnavailableError(
                f"{method} {path}: {type(error).__name__}", _OUTAGE_REMEDY
            ) from error
        if reply.status == 429:
            raise StoreOverloadedError(f"{method} {path}: rate limit", _OVERLOAD_REMEDY)
        if reply.status >= 500:
            raise StoreUnavailableError(f"{method} {path}: status {reply.status}", _OUTAGE_REMEDY)
        if reply.status not in _EXPECTED_STATUSES:
            raise StoreRefusedError(f"{method} {path}: status {reply.status}", _REFUSED_REMEDY)
        return reply


@dataclass(frozen=True, slots=True)
class _Version:
    version: int


def _decode(reply: HttpReply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f"unreadable response: {error}", _OUTAGE_REMEDY) from error


@asynccontextmanager
async def open_store(url: str, *, timeout_s: float = 1.0) -> AsyncIterator[StoreClient]:
    """Open a client of the store.

    Args:
        url: Scheme, host and port.
        timeout_s: Limit of each step of a call.
    """
    async with open_http_client(url, max_connections=32) as http:
        yield StoreClient(http, timeout_s)
