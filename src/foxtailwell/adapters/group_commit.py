"""Group commit: batches concurrent changes to a document into one compare-and-swap."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.store import StoreClient, Versioned, new_write_id
from foxtailwell.core.errors import (
    FoxtailwellError,
    StoreConflictError,
    StoreOverloadedError,
    StoreUnavailableError,
    UnavailableError,
)

__all__ = ["GroupCommitter", "Mutation", "open_group_committer"]

D = TypeVar("D")
R = TypeVar("R")

Mutation = Callable[[D], tuple[D, R]]
"""A pure function from a document to the changed document and a result. It must be idempotent: when
the response to a write was lost, it is applied again to a document that already has its effect."""

MAX_ATTEMPTS = 20
"""Consecutive attempts per batch; if all fail, the document has too many writers."""

MAX_DOCUMENT_BYTES = 950_000
"""Maximum size of an encoded document, below the store's limit of 1 MB per value."""


@dataclass(slots=True)
class _PendingChange:
    mutation: Callable[[Any], tuple[Any, Any]]
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Any = None
    error: FoxtailwellError | None = None


@dataclass(slots=True)
class _Cached(Generic[D]):
    version: int
    document: D


class GroupCommitter(Generic[D]):
    """Applies mutations to documents of one type and commits them in one batch per key."""

    def __init__(
        self,
        store: StoreClient,
        kind: type[D],
        empty: Callable[[], D],
        window_s: float,
        group: TaskGroup,
    ) -> None:
        self._store = store
        self._kind = kind
        self._empty = empty
        self._window_s = window_s
        self._group = group
        self._pending: dict[str, list[_PendingChange]] = {}
        self._cache: dict[str, _Cached[D]] = {}
        self.write_count = 0

    async def apply(self, key: str, mutation: Mutation[D, R]) -> R:
        """Apply a mutation and wait until its batch is committed to the store.

        Args:
            key: Key of the document.
            mutation: Pure, idempotent function; see `Mutation`.

        Returns:
            The result of the mutation.

        Raises:
            FoxtailwellError: Raised by the mutation; nothing was written for it.
            StoreUnavailableError: It is unknown whether the change took effect.
            UnavailableError: The store cannot be read, or the document would become too large; the
                change did not take effect.
            StoreOverloadedError: The rate limit was reached, or all attempts conflicted; the
                change did not take effect.
        """
        change = _PendingChange(mutation)
        if key in self._pending:
            self._pending[key].append(change)
        else:
            self._pending[key] = [change]
            self._group.start_soon(self._flush, key)
        await change.done.wait()
        if change.error is not None:
            raise change.error
        return change.result  # type: ignore[no-any-return]

    async def read(self, key: str) -> D:
        """Read a document from the store, bypassing the cache.

        Raises:
            StoreUnavailableError, StoreOverloadedError: The store could not be read.
        """
        return self._decode(await self._store.get(key))

    def _decode(self, current: Versioned | None) -> D:
        return self._empty() if current is None else decode_document(current.value, self._kind)

    async def _flush(self, key: str) -> None:
        await anyio.sleep(self._window_s)
        while batch := self._pending[key]:
            self._pending[key] = []
            await self._commit(key, batch)
        del self._pending[key]

    async def _commit(self, key: str, batch: list[_PendingChange]) -> None:
        try:
            await self._write(key, batch)
        except FoxtailwellError as error:
            self._cache.pop(key, None)
            for change in batch:
                change.error = change.error or error
        finally:
            for change in batch:
                change.done.set()

    async def _write(self, key: str, batch: list[_PendingChange]) -> None:
        is_fresh = key not in self._cache
        cached = await self._read_before_write(key)
        for _ in range(MAX_ATTEMPTS):
            document = _apply_all(cached.document, batch)
            if document == cached.document:
                if is_fresh:
                    return
                # Without a write, no conflict reveals that another daemon changed the document.
                self._cache.pop(key, None)
                cached, is_fresh = await self._read_before_write(key), True
                continue
            try:
                version = await self._store.write_with_readback(
                    key, cached.version, _encode(key, document), new_write_id()
                )
            except StoreConflictError:
                self._cache.pop(key, None)
                cached, is_fresh = await self._read(key), True
                continue
            self.write_count += 1
            self._cache[key] = _Cached(version, document)
            return
        raise StoreOverloadedError(
            f"{key}: {MAX_ATTEMPTS} conflicting writes in a row", "send the change again later"
        )

    async def _read_before_write(self, key: str) -> _Cached[D]:
        try:
            return await self._read(key)
        except StoreUnavailableError as error:
            # No write has been sent yet, so the change certainly did not take effect.
            raise UnavailableError(
                f"{key} cannot be read; nothing was accepted", "send the change again later"
            ) from error

    async def _read(self, key: str) -> _Cached[D]:
        cached = self._cache.get(key)
        if cached is None:
            current = await self._store.get(key)
            version = 0 if current is None else current.version
            cached = _Cached(version, self._decode(current))
            self._cache[key] = cached
        return cached


def _encode(key: str, document: object) -> str:
    text = encode_document(document)
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise UnavailableError(
            f"{key} would pass {MAX_DOCUMENT_BYTES} bytes; nothing was accepted",
            "wait until ended work has expired, then send the change again",
        )
    return text


def _apply_all(document: D, batch: list[_PendingChange]) -> D:
    for change in batch:
        change.error = None
        try:
            document, change.result = change.mutation(document)
        except FoxtailwellError as error:
            change.error = error
    return document


@asynccontextmanager
async def open_group_committer(
    store: StoreClient,
    kind: type[D],
    empty: Callable[[], D],
    *,
    window_s: float = 0.005,
) -> AsyncIterator[GroupCommitter[D]]:
    """Open a group committer, whose pending changes are written before the context exits.

    Args:
        store: Client of the store.
        kind: Data class of the documents.
        empty: Creates the initial document for a key that does not exist yet.
        window_s: Time to collect further changes before a batch is written.
    """
    async with anyio.create_task_group() as group:
        yield GroupCommitter(store, kind, empty, window_s, group)
