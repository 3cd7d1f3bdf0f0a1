"""HTTP client for the platform's configuration store.

The store is a key-value service with compare-and-swap, leases and watches. To support another
store, replace this module by one with the same functions.
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
from foxtailwell.adapters.malformed import MALFORMED
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
    """A stored value with its version, which compare-and-swap checks, and its last write."""

    key: str
    version: int
    value: str
    write_id: str


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Latest values of the keys below a prefix that changed after a given revision."""

    revision: int
    changes: tuple[Versioned, ...]


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """State of a lease after a lease call.

    Attributes:
        held: Whether the caller holds the lease.
        holder: Identifier of the current holder.
        term: Increases whenever the lease passes to a new holder; serves as fencing token.
        remaining_s: Time until the lease expires.
    """

    held: bool
    holder: str
    term: int
    remaining_s: float


def new_write_id() -> str:
    """Generate a unique identifier, which identifies a write after a lost response."""
    return uuid.uuid4().hex


class StoreClient:
    """Calls to the store; each one counts against the store's rate limits."""

    def __init__(self, http: HttpClient, timeout_s: float) -> None:
        self._http = http
        self._timeout_s = timeout_s

    @property
    def calls(self) -> int:
        """Number of calls sent since the client was opened."""
        return self._http.calls

    @property
    def bytes_sent(self) -> int:
        """Total bytes sent to the store since the client was opened."""
        return self._http.bytes_sent

    async def get(self, key: str) -> Versioned | None:
        """Read one key.

        Returns:
            The value, or None if the key does not exist.

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
            expected_version: Version that was read; 0 if the key must not exist yet.
            value: New value, at most 1 MB.
            write_id: Identifier that is stored with the value, see `new_write_id`.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The key has another version; nothing was written.
            StoreUnavailableError: No response arrived; the write may have taken effect.
            StoreOverloadedError: The store's rate limit was reached; nothing was written.
        """
        body = {"expected_version": expected_version, "value": value, "write_id": write_id}
        reply = await self._call(
            "PUT", f"/v1/kv/{path_segment(key)}", body=msgspec.json.encode(body)
        )
        if reply.status == 409:
            raise StoreConflictError(key, expected_version, _decode(reply, _CurrentVersion).version)
        return _decode(reply, _CurrentVersion).version

    async def write_with_readback(
        self, key: str, expected_version: int, value: str, write_id: str
    ) -> int:
        """Write a key, and read it back if the response is lost.

        If the key is unchanged, the write is repeated once. Both writes have the same expected
        version, so at most one of them takes effect.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The key has another version. If a response was lost, this write may
                have taken effect and been overwritten since; check the content of the key.
            StoreUnavailableError: It is unknown whether the write took effect.
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
            # The first write may still take effect, so do not report that nothing was written.
            raise StoreUnavailableError(error.message, _OUTAGE_REMEDY) from error

    async def _find_write(self, key: str, expected_version: int, write_id: str) -> int:
        """Return the version of this client's write, or 0 if the key is unchanged."""
        current = await self.get(key)
        current_version = current.version if current is not None else 0
        if current is not None and current.write_id == write_id:
            return current_version
        if current_version != expected_version:
            raise StoreConflictError(key, expected_version, current_version)
        return 0

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchResult:
        """Wait for changes of keys below a prefix (long poll).

        Args:
            prefix: Common prefix of the keys.
            after_revision: Revision of the previous result; 0 returns all keys immediately.
            wait_s: Maximum wait, after which an empty result is returned.

        Raises:
            StoreUnavailableError: No response arrived.
            StoreOverloadedError: The store's rate limit was reached.
        """
        path = f"/v1/watch?prefix={path_segment(prefix)}&after={after_revision}&wait_s={wait_s}"
        reply = await self._call("GET", path, timeout_s=wait_s + self._timeout_s)
        return _decode(reply, WatchResult)

    async def lease_acquire(self, key: str, holder: str, ttl_s: float) -> LeaseGrant:
        """Acquire a lease if it is free; otherwise the result names the holder."""
        return await self._lease(key, "acquire", holder, ttl_s)

    async def lease_renew(self, key: str, holder: str, ttl_s: float) -> LeaseGrant:
        """Extend a lease that the caller holds; `held` is false if it was lost."""
        return await self._lease(key, "renew", holder, ttl_s)

    async def lease_release(self, key: str, holder: str) -> LeaseGrant:
        """Release a lease before it expires, so that another holder can acquire it immediately."""
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
class _CurrentVersion:
    version: int


def _decode(reply: HttpReply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except MALFORMED as error:
        raise StoreUnavailableError(f"unreadable response: {error}", _OUTAGE_REMEDY) from error


@asynccontextmanager
async def open_store(url: str, *, timeout_s: float = 1.0) -> AsyncIterator[StoreClient]:
    """Open a store client with its own connection pool.

    Args:
        url: Scheme, host and port.
        timeout_s: Timeout of each step of a request (connect, write, read).
    """
    async with open_http_client(url, max_connections=32) as http:
        yield StoreClient(http, timeout_s)
